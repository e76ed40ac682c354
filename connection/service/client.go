// Package service is the HTTP client for plain services, the backend servers that run no model engine. It forwards any
// method, path and body and returns the whole response.
package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"sync"

	"golang.org/x/sync/semaphore"

	"github.com/toucanroute/toucanroute/connection/upstream"
	"github.com/toucanroute/toucanroute/request"
)

const (
	// defaultMaxResponseBytes is the default of Client.MaxResponseBytes.
	defaultMaxResponseBytes = 8 << 20
	// defaultMaxHeldBytes is the default of Client.MaxHeldBytes.
	defaultMaxHeldBytes = 64 << 20
	// holdStep is the unit in which a body takes its memory. The first one is free; most bodies need no more.
	holdStep = 16 << 10
)

var (
	errResponseTooLarge = errors.New("response of the service is too large")
	errTooMuchHeld      = errors.New("responses of services take too much memory at the moment")
)

// Client calls plain services. Set its exported fields before first use.
type Client struct {
	// MaxResponseBytes bounds the response body in bytes; 0 means 8 MB.
	MaxResponseBytes int64
	// MaxHeldBytes bounds the bodies of all responses that are read or not yet released, in bytes; 0 means 64 MB.
	MaxHeldBytes int64

	transport upstream.Transport
	once      sync.Once
	// held counts the bytes of the bodies that are read or not yet released.
	held *semaphore.Weighted
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.Close() }

// Call sends one attempt of a call and returns the whole response, whatever its status. Every error that it returns is
// a request.ErrAttempt.
func (c *Client) Call(ctx context.Context, call request.ServiceCall) (request.ServiceResponse, error) {
	req, err := newRequest(ctx, call)
	if err != nil {
		return request.ServiceResponse{}, request.ErrAttempt{Err: err}
	}
	res, err := c.transport.Send(req, call.ID, !call.Idempotent)
	if err != nil {
		return request.ServiceResponse{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, release, err := c.readAll(res.Body)
	if err != nil {
		return request.ServiceResponse{}, request.ErrAttempt{Sent: true, Status: res.StatusCode, Err: err}
	}
	request.StripHopHeaders(res.Header)
	return request.ServiceResponse{Status: res.StatusCode, Header: res.Header, Body: body, Framing: request.FramingOf(res), Release: release}, nil
}

// readAll reads a body to its end. The caller must call release when it doesn't use the body any more.
func (c *Client) readAll(r io.Reader) (body []byte, release func(), err error) {
	c.once.Do(func() { c.held = semaphore.NewWeighted(orDefault(c.MaxHeldBytes, defaultMaxHeldBytes)) })
	limit := orDefault(c.MaxResponseBytes, defaultMaxResponseBytes)
	var buf bytes.Buffer
	taken := int64(0)
	release = func() { c.held.Release(taken) }
	for {
		_, err := io.CopyN(&buf, r, min(holdStep, limit+1-int64(buf.Len())))
		switch {
		case errors.Is(err, io.EOF):
			return buf.Bytes(), release, nil
		case err == nil && int64(buf.Len()) > limit:
			err = errResponseTooLarge
		case err == nil && !c.held.TryAcquire(holdStep):
			err = errTooMuchHeld
		}
		if err != nil {
			release()
			return nil, nil, err
		}
		taken += holdStep
	}
}

func orDefault(n, fallback int64) int64 {
	if n > 0 {
		return n
	}
	return fallback
}

func newRequest(ctx context.Context, call request.ServiceCall) (*http.Request, error) {
	target := "http://" + call.Address + (&url.URL{Path: call.Path}).EscapedPath()
	if call.RawPath != "" {
		target = "http://" + call.Address + call.RawPath
	}
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
	return req, nil
}
