// Package engine is the streaming client of model engines. A connection whose answer is unfinished is closed
// and never reused, and an answer that echoes another attempt's id is refused.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/toucanroute/toucanroute/request"
)

const (
	dialTimeout     = time.Second
	controlTimeout  = 800 * time.Millisecond
	idleTimeout     = 60 * time.Second
	idlePerServer   = 512
	connBufferBytes = 4 << 10
	maxErrorBytes   = 64 << 10
	headerRequestID = "X-Request-Id"
)

// Client streams completions from engines. Its fields are set before first use.
type Client struct {
	// MaxEvent is the largest event of a stream in bytes; 0 is 1 MB.
	MaxEvent int

	once   sync.Once
	reused *http.Transport
	fresh  *http.Transport
}

// ErrCrossed tells that an answer belongs to another attempt.
type ErrCrossed struct {
	// Want is the attempt's own id.
	Want string
	// Got is the id in the answer.
	Got string
}

func (e ErrCrossed) Error() string {
	return fmt.Sprintf("answer of attempt %s came to attempt %s", e.Got, e.Want)
}

// IsErrCrossed tells whether err is an ErrCrossed.
func IsErrCrossed(err error) bool {
	var crossed ErrCrossed
	return errors.As(err, &crossed)
}

func (c *Client) setUp() {
	if c.MaxEvent == 0 {
		c.MaxEvent = 1 << 20
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
		ReadBufferSize:      connBufferBytes,
		WriteBufferSize:     connBufferBytes,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.once.Do(c.setUp)
	c.reused.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Stream sends one attempt and calls onData for each event of the answer. The data is only valid during the call;
// more tells that the next event is at hand already. Stream returns nil once the engine has ended the stream,
// request.ErrPaused if it paused it, and request.ErrAttempt where the attempt failed. An error of onData ends the
// stream and is returned.
func (c *Client) Stream(ctx context.Context, a request.Attempt, onData func(data []byte, more bool) error) error {
	c.once.Do(c.setUp)
	var sent atomic.Bool
	req, err := newRequest(ctx, a, &sent)
	if err != nil {
		return request.ErrAttempt{Err: err}
	}
	transport := c.reused
	if a.Fresh {
		transport = c.fresh
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return request.ErrAttempt{Sent: sent.Load(), Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	if got := res.Header.Get(headerRequestID); got != "" && got != a.ID {
		return request.ErrAttempt{Sent: true, Err: ErrCrossed{Want: a.ID, Got: got}}
	}
	if res.StatusCode != http.StatusOK {
		return refusal(res)
	}
	return c.read(res.Body, onData)
}

func newRequest(ctx context.Context, a request.Attempt, sent *atomic.Bool) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	target := "http://" + a.Address + a.Path
	body := a.Body
	if a.Resume {
		target = streamURL(a.Address, a.ID, "resume") + "?after=" + strconv.Itoa(a.After)
		body = nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(headerRequestID, a.ID)
	return req, nil
}

func streamURL(address, id, verb string) string {
	return "http://" + address + "/v1/streams/" + url.PathEscape(id) + "/" + verb
}

// engineError is the error answer of a completions API.
type engineError struct {
	Error struct {
		Message string `json:"message"`
	} `json:"error"`
}

func refusal(res *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err != nil {
		return request.ErrAttempt{Sent: true, Status: res.StatusCode, Err: err}
	}
	var e engineError
	_ = json.Unmarshal(body, &e)
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	return request.ErrAttempt{
		Sent:       true,
		Status:     res.StatusCode,
		Message:    e.Error.Message,
		RetryAfter: time.Duration(seconds) * time.Second,
	}
}

// Pause asks the engine to pause a stream and free its slot.
func (c *Client) Pause(ctx context.Context, address, id string) error {
	return c.control(ctx, address, id, "pause")
}

// Cancel asks the engine to end a stream and free its slot.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	return c.control(ctx, address, id, "cancel")
}

func (c *Client) control(ctx context.Context, address, id, verb string) error {
	c.once.Do(c.setUp)
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, streamURL(address, id, verb), http.NoBody)
	if err != nil {
		return err
	}
	res, err := c.reused.RoundTrip(req)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxErrorBytes))
	_ = res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s of stream %s: status %d", verb, id, res.StatusCode)
	}
	return nil
}
