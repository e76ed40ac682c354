// Package web holds the HTTP code that all stand-ins share: the listener, JSON bodies, settable faults and the
// detection of API keys.
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

// maxAdminBodyBytes is the maximum size of a request body that ReadJSON and the /admin endpoints accept.
const maxAdminBodyBytes = 8 << 20

// readHeaderTimeout is the time within which a client must send the request header.
const readHeaderTimeout = 10 * time.Second

// InstanceHeader is the header that names the instance that sends a request to the platform.
const InstanceHeader = "X-Instance"

// Serve serves HTTP requests at address, an IP address and port, until ctx ends. If ready isn't nil, it is called with
// the bound address.
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

// WriteJSON sends a response with this status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
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

// ReadJSON decodes the JSON body of r into v.
func ReadJSON(r *http.Request, v any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxAdminBodyBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// AbortConnection closes the connection of the request without a response, by a panic with http.ErrAbortHandler.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}

// HasAPIKey reports whether r carries an API key in one of the usual headers or query parameters.
func HasAPIKey(r *http.Request) bool {
	query := r.URL.Query()
	return hasKeyHeader(r.Header) || query.Has("key") || query.Has("api_key")
}

// HasAPIKeyInTrailer reports whether the trailer of r carries an API key. The body of r must have been read.
func HasAPIKeyInTrailer(r *http.Request) bool {
	return hasKeyHeader(r.Trailer)
}

func hasKeyHeader(h http.Header) bool {
	for _, name := range []string{"Authorization", "X-Api-Key", "Api-Key"} {
		if h.Get(name) != "" {
			return true
		}
	}
	return false
}

// Sleep waits for d, or until ctx ends if that is earlier.
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

// Millis converts n milliseconds to a time.Duration.
func Millis(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
