// Package platform holds the clients of the platform's interfaces: object API, ordering interface, usage intake and
// instance list. Each call has a timeout, calls are counted, and errors tell whether a write has taken effect.
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
)

const (
	// DefaultTimeout bounds a call whose client sets none.
	DefaultTimeout = 2 * time.Second
	// DefaultConcurrency bounds the calls of a client that run at once.
	DefaultConcurrency = 16
	// maxAnswerBytes bounds an answer; values are up to 1 MB each and a list holds several.
	maxAnswerBytes = 64 << 20
)

// Client sends calls to one interface of the platform. The fields are set before the first call.
type Client struct {
	// BaseURL has no trailing slash.
	BaseURL string
	// Instance is sent as X-Instance with each call; empty sends none.
	Instance string
	// Timeout of a call; 0 is DefaultTimeout.
	Timeout time.Duration
	// Concurrency is the number of calls at once, watches excepted; 0 is DefaultConcurrency.
	Concurrency int
	// Transport may be nil.
	Transport http.RoundTripper

	once  sync.Once
	http  *http.Client
	slots chan struct{}
}

// call is one exchange.
type call struct {
	name   string
	method string
	path   string
	header http.Header
	body   any
	// wait is added to the timeout; a call with a wait takes no slot.
	wait time.Duration
	// transport replaces the client's own where it is set.
	transport http.RoundTripper
}

// answer is a complete answer of the platform.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (c *Client) init() {
	c.once.Do(func() {
		transport := c.Transport
		if transport == nil {
			transport = &http.Transport{MaxIdleConnsPerHost: DefaultConcurrency, IdleConnTimeout: time.Minute}
		}
		n := c.Concurrency
		if n <= 0 {
			n = DefaultConcurrency
		}
		c.http = &http.Client{Transport: transport}
		c.slots = make(chan struct{}, n)
	})
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}

// do sends the call once. An error is ErrUnavailable where nothing was sent, or else ErrUnknownOutcome.
func (c *Client) do(ctx context.Context, k call) (answer, error) {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, c.timeout()+k.wait)
	defer cancel()
	if k.wait == 0 {
		select {
		case c.slots <- struct{}{}:
			defer func() { <-c.slots }()
		case <-ctx.Done():
			return answer{}, ErrUnavailable{Call: k.name, Cause: ctx.Err()}
		}
	}
	a, err := c.exchange(ctx, k)
	count(k.name, a.status, err)
	return a, err
}

func (c *Client) exchange(ctx context.Context, k call) (answer, error) {
	req, err := c.request(ctx, k)
	if err != nil {
		return answer{}, ErrRejected{Call: k.name, Message: err.Error()}
	}
	client := c.http
	if k.transport != nil {
		client = &http.Client{Transport: k.transport}
	}
	res, err := client.Do(req)
	if err != nil {
		return answer{}, callError(k, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, callError(k, err)
	}
	return answer{status: res.StatusCode, header: res.Header, body: body}, nil
}

func (c *Client) request(ctx context.Context, k call) (*http.Request, error) {
	var body io.Reader
	if k.body != nil {
		data, err := json.Marshal(k.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, k.method, c.BaseURL+k.path, body)
	if err != nil {
		return nil, err
	}
	for name, values := range k.header {
		req.Header[name] = values
	}
	if c.Instance != "" {
		req.Header.Set("X-Instance", c.Instance)
	}
	if k.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// callError tells a call that was never sent, or that changes nothing, from one with an unknown outcome.
func callError(k call, err error) error {
	if k.method == http.MethodGet || neverSent(err) {
		return ErrUnavailable{Call: k.name, Cause: err}
	}
	return ErrUnknownOutcome{Call: k.name, Cause: err}
}

func neverSent(err error) bool {
	if IsErrNotSent(err) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// statusError returns the error of a status that isn't the call's own, or nil for 2xx.
func statusError(k call, a answer) error {
	switch {
	case a.status >= 200 && a.status < 300:
		return nil
	case a.status == http.StatusTooManyRequests:
		return ErrRateLimited{Call: k.name, RetryAfter: retryAfter(a.header)}
	case a.status == http.StatusServiceUnavailable:
		return ErrUnavailable{Call: k.name, Cause: fmt.Errorf("status %d", a.status)}
	case a.status >= 500:
		return callError(k, fmt.Errorf("status %d", a.status))
	}
	return ErrRejected{Call: k.name, Status: a.status, Message: string(a.body[:min(len(a.body), 200)])}
}

func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

func count(name string, status int, err error) {
	result := "error"
	if err == nil {
		result = strconv.Itoa(status)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`toucanroute_platform_calls_total{call=%q,result=%q}`, name, result)).Inc()
}

// decode reads a JSON answer; a fault in the answer of a write leaves its outcome unknown.
func decode(k call, a answer, v any) error {
	if err := json.Unmarshal(a.body, v); err != nil {
		return callError(k, fmt.Errorf("answer isn't as specified: %w", err))
	}
	return nil
}
