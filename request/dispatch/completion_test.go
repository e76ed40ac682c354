package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/request"
	"github.com/toucanroute/toucanroute/wire"
)

// attemptFunc plays one exchange with an engine.
type attemptFunc func(ctx context.Context, a *request.Attempt, onData func([]byte, bool) error) error

// bench is a dispatcher whose engine plays a list of exchanges.
type bench struct {
	*Dispatcher
	rights   Rights
	plays    []attemptFunc
	sent     []request.Attempt
	asks     []wire.GrantAsk
	grants   []*pool.Grant
	releases []wire.GrantRelease
	outcomes []Outcome
	cancels  int
	counted  []int
	budget   int
	// slow is the time that each write to the caller takes.
	slow time.Duration
}

// slowRecorder records an answer whose caller takes its time.
type slowRecorder struct {
	*httptest.ResponseRecorder
	wait time.Duration
}

func (w slowRecorder) Write(data []byte) (int, error) {
	time.Sleep(w.wait)
	return w.ResponseRecorder.Write(data)
}

func newBench(plays ...attemptFunc) *bench {
	b := &bench{plays: plays, budget: 10, rights: Rights{
		Workspace: "w1", KeyID: "k1", Idempotent: true,
		Route: wire.Route{Name: "guide", Pool: "p1"},
		Class: wire.Class{Name: "guide", Tier: 2, Resumable: true},
	}}
	b.Dispatcher = &Dispatcher{
		Resolve: func(Ask) (Rights, error) { return b.rights, nil },
		Acquire: b.acquire,
		Address: func(server string) string { return server + ":1" },
		Retry:   func(string) bool { b.budget--; return b.budget >= 0 },
		Observe: func(o Outcome) { b.outcomes = append(b.outcomes, o) },
		Count:   func(_, _ string, prompt, completion int) { b.counted = append(b.counted, prompt, completion) },
		Stream:  b.stream,
		Pause:   func(context.Context, string, string) error { return nil },
		Cancel:  func(context.Context, string, string) error { b.cancels++; return nil },
	}
	return b
}

func (b *bench) acquire(ctx context.Context, ask wire.GrantAsk) (*pool.Grant, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	b.asks = append(b.asks, ask)
	server := "s1"
	for _, name := range ask.Exclude {
		if name == "s1" {
			server = "s2"
		}
	}
	grant := pool.NewGrant(server, "home", len(b.asks), func(r wire.GrantRelease) { b.releases = append(b.releases, r) })
	b.grants = append(b.grants, grant)
	return grant, nil
}

func (b *bench) stream(ctx context.Context, a *request.Attempt, onData func([]byte, bool) error) error {
	b.sent = append(b.sent, *a)
	play := b.plays[0]
	b.plays = b.plays[1:]
	return play(ctx, a, onData)
}

// complete runs one request and returns its answer and error.
func (b *bench) complete(ctx context.Context, t *testing.T, stream bool) (string, error) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"guide","stream":%t,"messages":[{"role":"user","content":"x"}]}`, stream)
	c, err := request.ParseCompletion(request.PathChat, []byte(body))
	assert.NilError(t, err)
	w := slowRecorder{ResponseRecorder: httptest.NewRecorder(), wait: b.slow}
	err = b.Complete(ctx, w, &request.Meta{ID: "r1", Arrived: time.Now()}, c)
	assert.Equal(t, b.Live(), 0)
	assert.Equal(t, len(b.releases), len(b.grants), "each grant is released")
	return w.Body.String(), err
}

func token(text string) []byte {
	return []byte(fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":%q}}]}`, text))
}

// tokens sends n tokens and ends with err.
func tokens(n int, err error) attemptFunc {
	return func(_ context.Context, _ *request.Attempt, onData func([]byte, bool) error) error {
		for i := range n {
			if err := onData(token(fmt.Sprintf("t%d ", i)), false); err != nil {
				return err
			}
		}
		return err
	}
}

var (
	errUnsent = request.ErrAttempt{Err: io.ErrClosedPipe}
	errSent   = request.ErrAttempt{Sent: true, Err: io.ErrUnexpectedEOF}
	errStatus = request.ErrAttempt{Sent: true, Status: http.StatusInternalServerError}
	errCaller = request.ErrAttempt{Sent: true, Status: http.StatusBadRequest, Message: "prompt too long"}
)

func checkAnswer(t *testing.T, err error, code string, notRun bool) {
	t.Helper()
	var answer request.ErrAnswer
	assert.Assert(t, errors.As(err, &answer), "%v", err)
	assert.Equal(t, answer.Code, code)
	assert.Equal(t, answer.NotRun, notRun)
}

func TestRetries(t *testing.T) {
	for _, tc := range []struct {
		name       string
		plays      []attemptFunc
		idempotent bool
		stream     bool
		budget     int
		// code is the error's code; empty is a whole answer.
		code   string
		notRun bool
		sends  int
	}{
		{"unsent moves freely", []attemptFunc{tokens(0, errUnsent), tokens(2, nil)}, false, true, 0, "", false, 2},
		{"unsent three times", []attemptFunc{tokens(0, errUnsent), tokens(0, errUnsent), tokens(0, errUnsent)}, false, true, 0, "server_failed", true, 3},
		{"sent, not idempotent", []attemptFunc{tokens(0, errSent)}, false, true, 9, "outcome_unknown", false, 1},
		{"unsent, then sent, not idempotent", []attemptFunc{tokens(0, errUnsent), tokens(0, errSent)}, false, true, 9, "outcome_unknown", false, 2},
		{"sent, idempotent", []attemptFunc{tokens(0, errSent), tokens(2, nil)}, true, true, 9, "", false, 2},
		{"sent, idempotent, then unsent", []attemptFunc{tokens(0, errSent), tokens(0, errUnsent), tokens(0, errUnsent)}, true, true, 9, "server_failed", false, 3},
		{"status, idempotent", []attemptFunc{tokens(0, errStatus), tokens(2, nil)}, true, true, 9, "", false, 2},
		{"no budget", []attemptFunc{tokens(0, errSent)}, true, true, 0, "server_failed", false, 1},
		{"caller's fault", []attemptFunc{tokens(0, errCaller)}, true, true, 9, "bad_request", false, 1},
		{"tokens shown", []attemptFunc{tokens(1, errStatus)}, true, true, 9, "stream_interrupted", false, 1},
		{"tokens not shown", []attemptFunc{tokens(1, errStatus), tokens(2, nil)}, true, false, 9, "", false, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(tc.plays...)
			b.rights.Idempotent, b.budget = tc.idempotent, tc.budget
			body, err := b.complete(context.Background(), t, tc.stream)
			assert.Equal(t, len(b.sent), tc.sends)
			if tc.code != "" {
				checkAnswer(t, err, tc.code, tc.notRun)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, strings.Count(body, "t0"), 1)
			assert.Equal(t, strings.Count(body, "t1"), 1)
		})
	}
}

func TestRetryGoesElsewhere(t *testing.T) {
	b := newBench(tokens(0, errSent), tokens(1, nil))
	_, err := b.complete(context.Background(), t, true)
	assert.NilError(t, err)
	assert.Equal(t, b.sent[0].ID, "r1.1")
	assert.Equal(t, b.sent[1].ID, "r1.2")
	assert.DeepEqual(t, b.asks[1].Exclude, []string{"s1"})
	assert.Equal(t, b.sent[1].Address, "s2:1")
	assert.Equal(t, b.releases[0].Failed, true)
	assert.Equal(t, b.releases[1].Failed, false)
}

func TestWastedTokensAreSeen(t *testing.T) {
	b := newBench(tokens(3, errStatus), tokens(2, nil))
	_, err := b.complete(context.Background(), t, false)
	assert.NilError(t, err)
	assert.Equal(t, b.outcomes[0].WastedTokens, 3)
	assert.Equal(t, b.outcomes[0].CompletionTokens, 2)
	assert.DeepEqual(t, b.counted, []int{0, 2})
}

func TestRefusedBeforeSendIsNotRun(t *testing.T) {
	b := newBench()
	b.Acquire = func(context.Context, wire.GrantAsk) (*pool.Grant, error) {
		return nil, pool.ErrRefused{Reason: "overload", RetryAfter: 250 * time.Millisecond}
	}
	_, err := b.complete(context.Background(), t, true)
	checkAnswer(t, err, "overload", true)
	assert.Equal(t, request.AnswerOf(err).RetryAfter, 250*time.Millisecond)
	assert.Equal(t, b.outcomes[0].Result, ResultRefused)
}

func TestPreemptedStreamResumesAtItsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paused := make(chan struct{})
		var b *bench
		b = newBench(
			func(_ context.Context, _ *request.Attempt, onData func([]byte, bool) error) error {
				_ = onData(token("a"), false)
				time.AfterFunc(time.Second, b.grants[0].Preempt)
				<-paused
				return request.ErrPaused{}
			},
			func(_ context.Context, _ *request.Attempt, onData func([]byte, bool) error) error {
				return onData(token("b"), false)
			},
		)
		tries := 0
		b.Pause = func(context.Context, string, string) error {
			if tries++; tries < 3 {
				return errors.New("no such stream yet")
			}
			close(paused)
			return nil
		}
		body, err := b.complete(context.Background(), t, true)
		assert.NilError(t, err)
		assert.Assert(t, strings.Index(body, `"a"`) < strings.Index(body, `"b"`))
		assert.Equal(t, b.sent[1].Resume, true)
		assert.Equal(t, b.sent[1].After, 1)
		assert.Equal(t, b.sent[1].ID, b.sent[0].ID)
		assert.Equal(t, b.asks[1].Resume, "s1")
		assert.Assert(t, b.releases[0].Paused)
		assert.Equal(t, b.releases[0].Failed, false)
		assert.Equal(t, len(b.releases), 2)
	})
}

func TestPausedStreamIsCancelledWhenItsCallerLeaves(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	b := newBench(func(context.Context, *request.Attempt, func([]byte, bool) error) error {
		cancel(ErrCallerGone{})
		return request.ErrPaused{}
	})
	_, err := b.complete(ctx, t, true)
	checkAnswer(t, err, "caller_gone", false)
	assert.Equal(t, b.cancels, 1)
}

func TestBrokenConnectionResumesAtTheEngine(t *testing.T) {
	b := newBench(tokens(2, errSent), tokens(1, nil))
	_, err := b.complete(context.Background(), t, true)
	assert.NilError(t, err)
	assert.Equal(t, b.sent[1].Resume, true)
	assert.Equal(t, b.sent[1].After, 2)
	assert.Equal(t, len(b.grants), 1, "the slot is kept meanwhile")
}

func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(func(ctx context.Context, _ *request.Attempt, _ func([]byte, bool) error) error {
			<-ctx.Done()
			return request.ErrAttempt{Sent: true, Err: ctx.Err()}
		})
		b.rights.Class.DeadlineMs = 1500
		begin := time.Now()
		_, err := b.complete(context.Background(), t, true)
		checkAnswer(t, err, "deadline", false)
		assert.Equal(t, time.Since(begin), 1500*time.Millisecond)
		assert.Equal(t, b.cancels, 1)
		assert.Equal(t, b.outcomes[0].Result, ResultDeadline)
	})
}

// A key that is withdrawn between the look-up and the registration still ends its request.
func TestWithdrawalDuringStart(t *testing.T) {
	b := newBench()
	asked := 0
	b.Resolve = func(Ask) (Rights, error) {
		if asked++; asked > 1 {
			return Rights{}, request.Refuse(http.StatusUnauthorized, request.CodeKeyWithdrawn, "the key was withdrawn")
		}
		return b.rights, nil
	}
	_, err := b.complete(context.Background(), t, true)
	checkAnswer(t, err, "key_withdrawn", true)
}

func TestServerThatLeaves(t *testing.T) {
	b := newBench(nil, tokens(1, nil))
	b.plays[0] = func(ctx context.Context, _ *request.Attempt, _ func([]byte, bool) error) error {
		assert.Equal(t, b.CancelServer("other"), 0)
		assert.Equal(t, b.CancelServer("s1"), 1)
		<-ctx.Done()
		return request.ErrAttempt{Sent: true, Err: ctx.Err()}
	}
	_, err := b.complete(context.Background(), t, true)
	assert.NilError(t, err)
	assert.Equal(t, b.sent[1].Address, "s2:1")
}

// An engine that sends nothing loses the request to another one, unless its answer was shown.
func TestStalledEngine(t *testing.T) {
	stalled := func(n int) attemptFunc {
		return func(ctx context.Context, a *request.Attempt, onData func([]byte, bool) error) error {
			_ = tokens(n, nil)(ctx, a, onData)
			<-ctx.Done()
			return request.ErrAttempt{Sent: true, Err: context.Cause(ctx)}
		}
	}
	synctest.Test(t, func(t *testing.T) {
		b := newBench(stalled(0), tokens(1, nil))
		begin := time.Now()
		_, err := b.complete(context.Background(), t, true)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(begin), DefaultStallTimeout)
		assert.Equal(t, b.sent[1].Address, "s2:1")
		assert.Equal(t, b.releases[0].Failed, true)
	})
	synctest.Test(t, func(t *testing.T) {
		b := newBench(stalled(2))
		_, err := b.complete(context.Background(), t, true)
		checkAnswer(t, err, "stream_interrupted", false)
		assert.Equal(t, b.cancels, 1)
	})
	synctest.Test(t, func(t *testing.T) {
		b := newBench(func(ctx context.Context, a *request.Attempt, onData func([]byte, bool) error) error {
			for range 5 {
				time.Sleep(DefaultStallTimeout - time.Second)
				if ctx.Err() != nil {
					return context.Cause(ctx)
				}
				_ = onData(token("slow"), false)
			}
			return nil
		})
		_, err := b.complete(context.Background(), t, true)
		assert.NilError(t, err, "a slow engine isn't a stalled one")
	})
}

// A caller that holds its stream up for long is no sign of a stalled engine.
func TestSlowCallerIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(func(ctx context.Context, a *request.Attempt, onData func([]byte, bool) error) error {
			_ = tokens(3, nil)(ctx, a, onData)
			return context.Cause(ctx)
		})
		b.slow = 2 * DefaultStallTimeout
		_, err := b.complete(context.Background(), t, true)
		assert.NilError(t, err)
	})
}

func TestObservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(func(_ context.Context, _ *request.Attempt, onData func([]byte, bool) error) error {
			for _, gap := range []time.Duration{100, 10, 30, 20} {
				time.Sleep(gap * time.Millisecond)
				_ = onData(token("x"), false)
			}
			return onData([]byte(`{"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":4,"prompt_tokens_details":{"cached_tokens":8}}}`), false)
		})
		_, err := b.complete(context.Background(), t, true)
		assert.NilError(t, err)
		assert.DeepEqual(t, b.outcomes[0], Outcome{
			RequestID: "r1", Workspace: "w1", Class: "guide", Route: "guide", Pool: "p1", Tier: 2, Server: "s1", Attempts: 1,
			FirstToken: 100 * time.Millisecond, BetweenMean: 20 * time.Millisecond, BetweenMax: 30 * time.Millisecond,
			Duration: 160 * time.Millisecond, PromptTokens: 9, CompletionTokens: 4, Result: ResultOK,
		})
		assert.DeepEqual(t, b.releases[0], wire.GrantRelease{
			Grant: 1, Pool: "p1", Tokens: 4, FirstTokenMs: 100, DurationMs: 160, CachedTokens: 8,
		})
		assert.DeepEqual(t, b.counted, []int{9, 4})
	})
}
