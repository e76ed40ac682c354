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

	"github.com/toucanroute/toucanroute/connection/upstream"
	"github.com/toucanroute/toucanroute/request"
)

// defaultMaxResponseBytes is the default of Client.MaxResponse.
const defaultMaxResponseBytes = 8 << 20

var errResponseTooLarge = errors.New("response of the service is too large")

// Client calls plain services. Set its exported fields before first use.
type Client struct {
	// MaxResponseBytes bounds the response body in bytes; 0 means 8 MB.
	MaxResponseBytes int64

	transport upstream.Transport
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
	body, err := c.readAll(res.Body)
	if err != nil {
		return request.ServiceResponse{}, request.ErrAttempt{Sent: true, Status: res.StatusCode, Err: err}
	}
	request.StripHopHeaders(res.Header)
	return request.ServiceResponse{Status: res.StatusCode, Header: res.Header, Body: body, Framing: request.FramingOf(res)}, nil
}

func (c *Client) readAll(r io.Reader) ([]byte, error) {
	limit := c.MaxResponseBytes
	if limit == 0 {
		limit = defaultMaxResponseBytes
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errResponseTooLarge
	}
	return body, err
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
