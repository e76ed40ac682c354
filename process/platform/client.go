// Package platform holds the clients of the platform's interfaces: object API, ordering interface, usage intake and
// instance list. Each call has a timeout and is counted in the metrics, and its error states whether a write has taken
// effect.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/toucanroute/toucanroute/process/memory"
)

const (
	// DefaultTimeout is the timeout of a call if the client sets none.
	DefaultTimeout = 2 * time.Second
	// DefaultConcurrency is the maximum number of concurrent calls of a client if the client sets none.
	DefaultConcurrency = 16
	// DefaultMaxResponseBytes is the largest size of a response if the client sets none. Values are up to 1 MB each, and a
	// list contains several.
	DefaultMaxResponseBytes = 64 << 20
	// maxHeadBytes bounds the head of a response. The fields of a head take up to some 30 times its length.
	maxHeadBytes = 8 << 10
)

// Client sends HTTP calls to one interface of the platform. The fields must be set before the first call.
type Client struct {
	// BaseURL has no trailing slash.
	BaseURL string
	// Instance is sent in the header X-Instance of each call; no header is sent if it is empty.
	Instance string
	// Timeout is the timeout of a call; 0 means DefaultTimeout.
	Timeout time.Duration
	// Concurrency is the maximum number of concurrent calls, not counting watches; 0 means DefaultConcurrency.
	Concurrency int
	// MaxResponseBytes is the largest size of a response's body in bytes, and of the bodies that are read at the same time
	// together, but for the first 64 kB of each; 0 means DefaultMaxResponseBytes.
	MaxResponseBytes int64
	// Transport sends the calls; nil means a transport that keeps idle connections for reuse.
	Transport http.RoundTripper

	once sync.Once
	http *http.Client
	// slots has one element for each running call that counts against the concurrency limit.
	slots chan struct{}
	// bodies is the memory of the bodies that are being read.
	bodies *memory.Budget
}

// call describes one HTTP call.
type call struct {
	// name is the name of the call in metrics and errors.
	name   string
	method string
	path   string
	header http.Header
	body   any
	// wait is added to the timeout. A call with a wait does not count against the concurrency limit.
	wait time.Duration
	// transport replaces the transport of the client if it is not nil.
	transport http.RoundTripper
}

// rawResponse is a complete response of the platform.
type rawResponse struct {
	status int
	header http.Header
	body   []byte
}

// initOnce creates the HTTP client and the concurrency limit at the first call.
func (c *Client) initOnce() {
	c.once.Do(func() {
		transport := c.Transport
		if transport == nil {
			transport = &http.Transport{
				DialContext: checkedDial(&net.Dialer{}), MaxIdleConnsPerHost: DefaultConcurrency, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes,
			}
		}
		concurrency := c.Concurrency
		if concurrency <= 0 {
			concurrency = DefaultConcurrency
		}
		c.http = &http.Client{Transport: transport}
		c.slots = make(chan struct{}, concurrency)
		c.bodies = memory.NewBudget(c.maxResponseBytes())
	})
}

// timeout returns the timeout of a call.
func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}

func (c *Client) maxResponseBytes() int64 {
	if c.MaxResponseBytes > 0 {
		return c.MaxResponseBytes
	}
	return DefaultMaxResponseBytes
}

// do sends the call once. It returns ErrUnavailable if the call has no effect, and ErrUnknownOutcome if a write may
// have taken effect.
func (c *Client) do(ctx context.Context, spec call) (rawResponse, error) {
	c.initOnce()
	ctx, cancel := context.WithTimeout(ctx, c.timeout()+spec.wait)
	defer cancel()
	if spec.wait == 0 {
		select {
		case c.slots <- struct{}{}:
			defer func() { <-c.slots }()
		case <-ctx.Done():
			return rawResponse{}, ErrUnavailable{Call: spec.name, Cause: ctx.Err()}
		}
	}
	response, err := c.exchange(ctx, spec)
	countCall(spec.name, response.status, err)
	return response, err
}

// exchange sends the request of a call and reads the whole response.
func (c *Client) exchange(ctx context.Context, spec call) (rawResponse, error) {
	var trace exchangeTrace
	req, err := c.request(trace.context(ctx), spec)
	if err != nil {
		return rawResponse{}, ErrRejected{Call: spec.name, Message: err.Error()}
	}
	client := c.http
	if spec.transport != nil {
		client = &http.Client{Transport: spec.transport}
	}
	res, err := client.Do(req)
	if err != nil {
		return rawResponse{}, callError(spec, err)
	}
	defer func() { _ = res.Body.Close() }()
	if err := CheckHead(res.StatusCode, res.Header); err != nil {
		return rawResponse{}, callError(spec, err)
	}
	body, err := memory.ReadAll(res.Body, c.bodies, c.maxResponseBytes())
	if err == nil {
		err = trace.checkWritten(ctx, res)
	}
	if err != nil {
		return rawResponse{}, callError(spec, err)
	}
	return rawResponse{status: res.StatusCode, header: res.Header, body: body}, nil
}

// request builds the HTTP request of a call.
func (c *Client) request(ctx context.Context, spec call) (*http.Request, error) {
	var body io.Reader
	if spec.body != nil {
		data, err := json.Marshal(spec.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, spec.method, c.BaseURL+spec.path, body)
	if err != nil {
		return nil, err
	}
	for name, values := range spec.header {
		req.Header[name] = values
	}
	if c.Instance != "" {
		req.Header.Set("X-Instance", c.Instance)
	}
	if spec.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// callError returns ErrUnavailable for a call that was never sent or is a read, and ErrUnknownOutcome for other calls.
func callError(spec call, err error) error {
	if spec.method == http.MethodGet || neverSent(err) {
		return ErrUnavailable{Call: spec.name, Cause: err}
	}
	return ErrUnknownOutcome{Call: spec.name, Cause: err}
}

// neverSent reports whether a call failed before any of its bytes were sent.
func neverSent(err error) bool {
	if IsErrNotSent(err) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// statusError returns the error for a status that has no special meaning for the call, or nil for 2xx.
func statusError(spec call, response rawResponse) error {
	switch {
	case response.status >= 200 && response.status < 300:
		return nil
	case response.status == http.StatusTooManyRequests:
		return ErrRateLimited{Call: spec.name, RetryAfter: retryAfter(response.header)}
	case response.status == http.StatusServiceUnavailable:
		return ErrUnavailable{Call: spec.name, Cause: fmt.Errorf("status %d", response.status)}
	case response.status >= 500:
		return callError(spec, fmt.Errorf("status %d", response.status))
	}
	return ErrRejected{Call: spec.name, Status: response.status, Message: string(response.body[:min(len(response.body), 200)])}
}

// retryAfter returns the delay of the header Retry-After, or 0 if there is none.
func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// countCall counts a call by its name and its status in the metrics.
func countCall(name string, status int, err error) {
	result := "error"
	if err == nil {
		result = strconv.Itoa(status)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`toucanroute_platform_calls_total{call=%q,result=%q}`, name, result)).Inc()
}

// decode decodes the JSON body of a response. If the response of a write is invalid, the outcome of the write is
// unknown.
func decode(spec call, response rawResponse, v any) error {
	if err := json.Unmarshal(pruneNested(response.body, maxNesting), v); err != nil {
		return callError(spec, fmt.Errorf("decode response body: %w", err))
	}
	return nil
}
