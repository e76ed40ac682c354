package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/connection/engine"
	"github.com/toucanroute/toucanroute/connection/service"
	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/request"
	"github.com/toucanroute/toucanroute/request/dispatch"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	testKey   = "sk-test-1234"
	testModel = "guide"
)

// fakeEngine streams a fixed number of tokens and records the requests that it received.
type fakeEngine struct {
	tokens     int
	tokenDelay time.Duration
	// tokenText is the text of each token; empty means "t0 ", "t1 " and so on.
	tokenText string

	cancelRequests atomic.Int32
	// endedStreams counts the streams that ended, completely or because the connection was closed.
	endedStreams atomic.Int32
	mu           sync.Mutex
	bodies       []map[string]any
	headers      []http.Header
	url          string
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/cancel") {
		e.cancelRequests.Add(1)
		return
	}
	body, _ := io.ReadAll(r.Body)
	var fields map[string]any
	_ = json.Unmarshal(body, &fields)
	e.mu.Lock()
	e.bodies = append(e.bodies, fields)
	e.headers = append(e.headers, r.Header.Clone())
	e.url = r.URL.String()
	e.mu.Unlock()
	defer e.endedStreams.Add(1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	id := r.Header.Get("X-Request-Id")
	for i := range e.tokens {
		if !e.writeToken(w, r, id, i) {
			return
		}
	}
	_, _ = fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","created":1,"model":"guide","choices":[],"usage":{"prompt_tokens":7,"completion_tokens":%d,"total_tokens":%d}}`+"\n\n", id, e.tokens, 7+e.tokens)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// writeToken writes the event of token i after tokenDelay. It returns false if the connection is closed.
func (e *fakeEngine) writeToken(w http.ResponseWriter, r *http.Request, id string, i int) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(e.tokenDelay):
	}
	reason := "null"
	if i == e.tokens-1 {
		reason = `"stop"`
	}
	tokenText := e.tokenText
	if tokenText == "" {
		tokenText = fmt.Sprintf("t%d ", i)
	}
	_, err := fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","created":1,"model":"guide","choices":[{"index":0,"delta":{"content":%q},"finish_reason":%s}],"usage":null}`+"\n\n", id, tokenText, reason)
	w.(http.Flusher).Flush()
	return err == nil
}

// lastRequest returns the body and headers of the last request.
func (e *fakeEngine) lastRequest() (map[string]any, http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bodies[len(e.bodies)-1], e.headers[len(e.headers)-1]
}

func (e *fakeEngine) lastURL() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.url
}

// requestCount returns the number of completion requests received.
func (e *fakeEngine) requestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.bodies)
}

// testStack is a running Server with a dispatcher and one backend server.
type testStack struct {
	// stop ends the server at once.
	stop       func()
	server     *Server
	dispatcher *dispatch.Dispatcher
	url        string
	address    string

	mu       sync.Mutex
	outcomes []dispatch.Summary
	releases []wire.GrantRelease
}

// observe records the summary that the dispatcher gives of each ended request.
func (s *testStack) observe(o dispatch.Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, o)
}

// acquire grants each request a slot of the only backend server, and records the release of the slot.
func (s *testStack) acquire(context.Context, wire.GrantAsk) (*pool.Grant, error) {
	return pool.NewGrant("s1", "home", 1, func(r wire.GrantRelease) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.releases = append(s.releases, r)
	}), nil
}

func (s *testStack) releaseCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.releases)
}

// authorize accepts testKey for every service and for testModel, with any class but "forbidden".
func authorize(authRequest dispatch.AuthRequest) (dispatch.Authorization, error) {
	switch {
	case authRequest.Key == "":
		return dispatch.Authorization{}, request.NewRefusal(http.StatusUnauthorized, request.CodeNoKey, "a key is needed")
	case authRequest.Key != testKey:
		return dispatch.Authorization{}, request.NewRefusal(http.StatusUnauthorized, request.CodeBadKey, "the key is not valid")
	case authRequest.Kind == wire.RouteKindModel && authRequest.Route != testModel:
		return dispatch.Authorization{}, request.NewRefusal(http.StatusNotFound, request.CodeUnknownModel, "no such model")
	case authRequest.Class == "forbidden":
		return dispatch.Authorization{}, request.NewRefusal(http.StatusForbidden, request.CodeClassDenied, "the class is not in the key's rights")
	}
	return dispatch.Authorization{
		Workspace: "w1", KeyID: "k1", Idempotent: true,
		Route: wire.Route{Name: authRequest.Route, Pool: "p1"},
		Class: wire.Class{Name: "guide", Tier: 2},
	}, nil
}

// newStack starts a server in front of backend; configure, if not nil, changes the fields before the start.
func newStack(t testing.TB, backend http.Handler, configure func(*testStack)) *testStack {
	t.Helper()
	upstream := httptest.NewServer(backend)
	t.Cleanup(upstream.Close)
	client, services := &engine.Client{}, &service.Client{}
	t.Cleanup(client.Close)
	t.Cleanup(services.Close)
	s := &testStack{address: strings.TrimPrefix(upstream.URL, "http://")}
	s.dispatcher = &dispatch.Dispatcher{
		Authorize: authorize,
		Models:    func(string) ([]string, error) { return []string{testModel}, nil },
		Acquire:   s.acquire,
		Address:   func(string) string { return s.address },
		Observe:   s.observe,
		Stream:    client.Stream,
		Pause:     client.Pause,
		Cancel:    client.Cancel,
		Call:      services.Call,
	}
	s.server = &Server{Listen: "127.0.0.1:0", Dispatcher: s.dispatcher}
	if configure != nil {
		configure(s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.server.Run(ctx) }()
	select {
	case <-s.server.Started():
	case err := <-done:
		t.Fatal(err)
	}
	s.stop = sync.OnceFunc(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	t.Cleanup(s.stop)
	s.url = "http://" + s.server.Address()
	return s
}

// chatBody returns the body of a chat completion request for testModel.
func chatBody(stream bool) string {
	return fmt.Sprintf(`{"model":"guide","stream":%t,"messages":[{"role":"user","content":"is it safe to swim?"}]}`, stream)
}

// post sends a POST request with the test key and returns the status, headers and body of the response.
func (s *testStack) post(t testing.TB, path, body string) (int, http.Header, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, s.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	return do(t, req)
}

// do sends a request and returns the status, headers and body of the response.
func do(t testing.TB, req *http.Request) (int, http.Header, string) {
	t.Helper()
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res.StatusCode, res.Header, string(body)
}

// eventually polls until ok returns true and fails the test if that takes longer than within.
func eventually(t testing.TB, within time.Duration, condition string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(within)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", within, condition)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// authorizeNonIdempotent authorizes as authorize does, but for requests that may not be repeated.
func authorizeNonIdempotent(authRequest dispatch.AuthRequest) (dispatch.Authorization, error) {
	authorization, err := authorize(authRequest)
	authorization.Idempotent = false
	return authorization, err
}
