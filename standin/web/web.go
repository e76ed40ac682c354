// Package web holds what all stand-ins share: the listener, JSON bodies, settable faults and a look for keys.
package web

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// maxAdminBody bounds a body sent to a stand-in's own interface, in bytes.
const maxAdminBody = 8 << 20

// readHeaderTimeout bounds the time in which a client sends its header.
const readHeaderTimeout = 10 * time.Second

// InstanceHeader names the instance that sends a request to the platform.
const InstanceHeader = "X-Instance"

// Serve answers at address, an IP number and port, until ctx ends; ready gets the bound address.
func Serve(ctx context.Context, address string, h http.Handler, ready func(address string)) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if ready != nil {
		ready(ln.Addr().String())
	}
	err = srv.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Write answers with v as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// Read decodes the JSON body of r into v.
func Read(r *http.Request, v any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxAdminBody))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// Drop closes the connection of the request without an answer.
func Drop() {
	panic(http.ErrAbortHandler)
}

// HasKey tells whether r carries a caller's key in a usual header or query parameter.
func HasKey(r *http.Request) bool {
	query := r.URL.Query()
	return hasKeyField(r.Header) || query.Has("key") || query.Has("api_key")
}

// HasTrailerKey tells whether the trailer of r, whose body was read, carries a caller's key.
func HasTrailerKey(r *http.Request) bool {
	return hasKeyField(r.Trailer)
}

func hasKeyField(h http.Header) bool {
	for _, name := range []string{"Authorization", "X-Api-Key", "Api-Key"} {
		if h.Get(name) != "" {
			return true
		}
	}
	return false
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Millis returns n milliseconds.
func Millis(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
