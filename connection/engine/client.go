// Package engine is the HTTP client for model engines, the backend servers that run language models: completion
// streams, pause and cancel, load reports, and the events of an engine's prefix cache.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/connection/upstream"
	"github.com/toucanroute/toucanroute/process/memory"
	"github.com/toucanroute/toucanroute/request"
)

const (
	// controlTimeout bounds one call of Pause or Cancel.
	controlTimeout = 800 * time.Millisecond
	// defaultMaxEventBytes is the default of Client.MaxEvent.
	defaultMaxEventBytes = 1 << 20
	// maxErrorBytes bounds the part of an error response that is read.
	maxErrorBytes = 64 << 10
)

// Client streams completions from engines. Set its exported fields before first use.
type Client struct {
	// MaxEventBytes bounds one event of a stream in bytes; 0 means 1 MB.
	MaxEventBytes int

	transport upstream.Transport
	once      sync.Once
	// lines is the memory of lines that are longer than the read buffer.
	lines *memory.Budget
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.Close() }

// Stream sends one attempt to run a request and calls onData for each event of the response. The data is only valid
// during the call; more is true if the next event is already buffered. Stream returns nil when the engine has completed
// the stream, request.ErrPaused if the engine has paused it, and request.ErrAttempt if the attempt failed. If onData
// returns an error, Stream ends and returns that error.
func (c *Client) Stream(ctx context.Context, a *request.Attempt, onData func(data []byte, more bool) error) error {
	res, err := c.send(ctx, a)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	return c.readEvents(res.Body, onData)
}

// send sends an attempt and returns the engine's response, or an error if its status isn't 200.
func (c *Client) send(ctx context.Context, a *request.Attempt) (*http.Response, error) {
	req, err := newRequest(ctx, a)
	if err != nil {
		return nil, request.ErrAttempt{Err: err}
	}
	res, err := c.transport.Send(req, a.ID, a.NewConnection)
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusOK {
		return res, nil
	}
	err = statusError(res)
	_ = res.Body.Close()
	return nil, err
}

func newRequest(ctx context.Context, a *request.Attempt) (*http.Request, error) {
	target := "http://" + a.Address + a.Path
	body := a.Body
	if a.Resume {
		target = streamURL(a.Address, a.ID, "resume") + "?after=" + strconv.Itoa(a.SkipChunks)
		body = nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	return req, nil
}

// streamURL returns the URL of an action (pause, resume or cancel) on the stream with the id.
func streamURL(address, id, verb string) string {
	return "http://" + address + "/v1/streams/" + url.PathEscape(id) + "/" + verb
}

// engineError is the error body of a completions API.
type engineError struct {
	Error struct {
		Message string `json:"message"`
	} `json:"error"`
}

// statusError returns the error for a response with a status other than 200.
func statusError(res *http.Response) error {
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

// Pause asks the engine to pause the stream with the id and free its slot.
func (c *Client) Pause(ctx context.Context, address, id string) error {
	return c.control(ctx, address, id, "pause")
}

// Cancel asks the engine to end the stream with the id and free its slot.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	return c.control(ctx, address, id, "cancel")
}

// control sends a pause or cancel request for a stream and returns an error unless it succeeds.
func (c *Client) control(ctx context.Context, address, id, verb string) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, streamURL(address, id, verb), http.NoBody)
	if err != nil {
		return err
	}
	res, err := c.transport.Send(req, id, false)
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
