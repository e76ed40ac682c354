// Package service is the client of plain services: any method, path and body, the answer passed on whole.
package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/toucanroute/toucanroute/request"
)

const (
	dialTimeout     = time.Second
	idleTimeout     = 60 * time.Second
	idlePerServer   = 128
	defaultAnswer   = 8 << 20
	headerRequestID = "X-Request-Id"
)

var errAnswerTooLarge = errors.New("answer of the service is too large")

// Client calls plain services. Its fields are set before first use.
type Client struct {
	// MaxAnswer is the largest answer in bytes; 0 is 8 MB.
	MaxAnswer int64

	once   sync.Once
	reused *http.Transport
	fresh  *http.Transport
}

func (c *Client) setUp() {
	if c.MaxAnswer == 0 {
		c.MaxAnswer = defaultAnswer
	}
	c.reused = newTransport(false)
	c.fresh = newTransport(true)
}

func newTransport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:  true,
		DisableKeepAlives:   fresh,
		MaxIdleConnsPerHost: idlePerServer,
		IdleConnTimeout:     idleTimeout,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.once.Do(c.setUp)
	c.reused.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Call sends one attempt and returns the whole answer, whatever its status; a failure is a request.ErrAttempt.
// A call that may not be repeated goes over a new connection: the library repeats requests by itself only on
// a connection that it reuses.
func (c *Client) Call(ctx context.Context, call request.ServiceCall) (request.ServiceAnswer, error) {
	c.once.Do(c.setUp)
	var sent atomic.Bool
	req, err := newRequest(ctx, call, &sent)
	if err != nil {
		return request.ServiceAnswer{}, request.ErrAttempt{Err: err}
	}
	transport := c.reused
	if !call.Idempotent {
		transport = c.fresh
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return request.ServiceAnswer{}, request.ErrAttempt{Sent: sent.Load(), Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, c.MaxAnswer+1))
	if err == nil && int64(len(body)) > c.MaxAnswer {
		err = errAnswerTooLarge
	}
	if err != nil {
		return request.ServiceAnswer{}, request.ErrAttempt{Sent: true, Status: res.StatusCode, Err: err}
	}
	request.StripHopHeaders(res.Header)
	return request.ServiceAnswer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

func newRequest(ctx context.Context, call request.ServiceCall, sent *atomic.Bool) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	target := "http://" + call.Address + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	req.Header.Set(headerRequestID, call.ID)
	return req, nil
}
