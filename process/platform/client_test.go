package platform

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/wire"
)

// newTestObjects returns a client of an object API that serves requests with the handler.
func newTestObjects(t *testing.T, h http.HandlerFunc) *Objects {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return &Objects{Client{BaseURL: server.URL, Instance: "i1", Timeout: 200 * time.Millisecond}}
}

func TestObjectErrors(t *testing.T) {
	for _, tc := range []struct {
		status  int
		body    string
		matches func(error) bool
	}{
		{404, `{"code":"not_found","message":""}`, IsErrNotFound},
		{409, `{"code":"conflict","message":"","current":{"kind":"k","name":"n","version":7,"value":{}}}`, IsErrConflict},
		{429, `{"code":"rate_limited","message":""}`, IsErrRateLimited},
		{503, `{"code":"unavailable","message":""}`, IsErrUnavailable},
		{502, ``, IsErrUnknownOutcome},
		{200, `not json`, IsErrUnknownOutcome},
		{413, `{"code":"too_large","message":""}`, IsErrRejected},
	} {
		o := newTestObjects(t, func(w http.ResponseWriter, r *http.Request) {
			assert.Check(t, r.Header.Get("X-Instance") == "i1")
			assert.Check(t, r.Header.Get("If-Match") == "3")
			w.WriteHeader(tc.status)
			_, _ = w.Write([]byte(tc.body))
		})
		_, err := o.Update(context.Background(), "k", "n", 3, struct{}{})
		assert.Assert(t, tc.matches(err), "%d: %v", tc.status, err)
	}
}

func TestConflictCarriesTheStoredObject(t *testing.T) {
	o := newTestObjects(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"code":"conflict","message":"","current":{"kind":"k","name":"n","version":7,"value":{"a":1}}}`))
	})
	_, err := o.Create(context.Background(), "k", "n", struct{}{})
	var conflict ErrConflict
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Current.Version, 7)
}

func TestLostResponseOfAWriteMeansUnknownOutcome(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	o := newTestObjects(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	_, err := o.Create(context.Background(), "k", "n", struct{}{})
	assert.Assert(t, IsErrUnknownOutcome(err), "%v", err)
	_, err = o.Get(context.Background(), "k", "n")
	assert.Assert(t, IsErrUnavailable(err), "%v", err)
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	o := &Objects{Client{BaseURL: server.URL}}
	_, err := o.Create(context.Background(), "k", "n", struct{}{})
	assert.Assert(t, IsErrUnavailable(err), "%v", err)
}

func TestGuardStopsAnOrderAtTheSocket(t *testing.T) {
	arrived := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived++
		_, _ = w.Write([]byte(`{"id":"o1","accepted":true}`))
	}))
	defer server.Close()
	o := &Ordering{Client{BaseURL: server.URL}}
	leaseErr := errors.New("lease lapsed")
	_, err := o.Send(context.Background(), wire.ServerOrder{Id: "o1"}, func() error { return leaseErr })
	assert.Assert(t, IsErrUnavailable(err) && errors.Is(err, leaseErr), "%v", err)
	assert.Equal(t, arrived, 0)
	result, err := o.Send(context.Background(), wire.ServerOrder{Id: "o1"}, func() error { return nil })
	assert.NilError(t, err)
	assert.Assert(t, result.Accepted)
	assert.Equal(t, arrived, 1)
}

// A call that its guard stops counts as not sent, whichever error of the closed connection the transport reports first.
func TestCallStoppedByGuardHasKnownOutcome(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	u := &Usage{Client{BaseURL: server.URL}}
	leaseErr := errors.New("lease lapsed")
	for range 2000 {
		err := u.Report(t.Context(), wire.UsageReport{}, func() error { return leaseErr })
		assert.Assert(t, IsErrUnavailable(err) && errors.Is(err, leaseErr), "%v", err)
	}
}

// A response without end fails the call. Whether a write took effect isn't known then.
func TestResponseWithoutEndFailsTheCall(t *testing.T) {
	for name, tc := range map[string]struct {
		head   string
		write  bool
		isFrom func(error) bool
	}{
		"body of a read":  {"HTTP/1.1 200 OK\r\n\r\n[", false, IsErrUnavailable},
		"body of a write": {"HTTP/1.1 200 OK\r\n\r\n[", true, IsErrUnknownOutcome},
		"head of a read":  {"HTTP/1.1 200 OK\r\nX-Long: ", false, IsErrUnavailable},
		"head of a write": {"HTTP/1.1 200 OK\r\nX-Long: ", true, IsErrUnknownOutcome},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			o := newTestObjects(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, tc.head)
				for err == nil && sent.Load() < 512<<20 {
					var n int
					n, err = conn.Write(bytes.Repeat([]byte("1,"), 4<<10))
					sent.Add(int64(n))
				}
			})
			o.Timeout, o.MaxResponseBytes = 5*time.Second, 1<<20
			var err error
			if tc.write {
				_, err = o.Update(t.Context(), "k", "n", 3, 1)
			} else {
				_, err = o.Get(t.Context(), "k", "n")
			}
			assert.Assert(t, tc.isFrom(err), "%v", err)
			assert.Assert(t, sent.Load() < 64<<20, "read until the timeout: %d bytes", sent.Load())
		})
	}
}
