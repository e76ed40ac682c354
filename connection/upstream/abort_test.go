package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// heldBytes is the result of reading a connection whose bytes a network has held up: the number of bytes that are
// delivered when it recovers, and the error at the end.
type heldBytes struct {
	n   int64
	err error
}

// holdServer accepts one connection. It answers the first request if kept is set, and begins an answer if partial is
// set. Once the last request has begun to arrive, it closes holding, and reads the rest of the connection when recovered is closed.
func holdServer(t *testing.T, kept, partial bool, recovered <-chan struct{}) (address string, holding <-chan struct{}, read <-chan heldBytes) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	done, held := make(chan heldBytes, 1), make(chan struct{})
	go func() {
		c, err := ln.Accept()
		if err != nil {
			done <- heldBytes{err: err}
			return
		}
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		if kept {
			req, err := http.ReadRequest(r)
			if err != nil {
				done <- heldBytes{err: err}
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+headerRequestID+": r.0\r\nContent-Length: 6\r\n\r\nanswer")
		}
		_, _ = r.Peek(1)
		if partial {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+headerRequestID+": r.1\r\nContent-Length: 100\r\n\r\nans")
		}
		close(held)
		<-recovered
		n, err := io.Copy(io.Discard, r)
		done <- heldBytes{n, err}
	}()
	return ln.Addr().String(), held, done
}

// TestGivenUpRequestIsTakenBack checks that a request that is given up while the network holds up its bytes can't reach
// the server later: its connection is reset, whatever the reason and moment, on new and on kept connections.
func TestGivenUpRequestIsTakenBack(t *testing.T) {
	const bodyBytes = 16 << 20
	rnd := rand.New(rand.NewPCG(19, 6))
	for name, tt := range map[string]struct {
		kept, partial bool
		giveUp        func(cancel context.CancelCauseFunc, tr *Transport)
	}{
		"cancelled":                {giveUp: func(cancel context.CancelCauseFunc, _ *Transport) { cancel(errors.New("caller left")) }},
		"cancelled, kept":          {kept: true, giveUp: func(cancel context.CancelCauseFunc, _ *Transport) { cancel(errors.New("suspect")) }},
		"cancelled, begun":         {partial: true, giveUp: func(cancel context.CancelCauseFunc, _ *Transport) { cancel(errors.New("timeout")) }},
		"process ends":             {giveUp: func(_ context.CancelCauseFunc, tr *Transport) { tr.Close() }},
		"process ends, kept":       {kept: true, giveUp: func(_ context.CancelCauseFunc, tr *Transport) { tr.Close() }},
		"process ends, begun":      {partial: true, giveUp: func(_ context.CancelCauseFunc, tr *Transport) { tr.Close() }},
		"answer closed unfinished": {partial: true, giveUp: func(context.CancelCauseFunc, *Transport) {}},
	} {
		t.Run(name, func(t *testing.T) {
			for range 3 {
				recovered := make(chan struct{})
				address, holding, read := holdServer(t, tt.kept, tt.partial, recovered)
				tr := &Transport{}
				send := func(ctx context.Context, id string, body io.Reader) error {
					req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", body)
					assert.NilError(t, err)
					res, err := tr.Send(req, id, false)
					if err != nil {
						return err
					}
					if id == "r.0" || !tt.partial {
						_, err = io.Copy(io.Discard, res.Body)
					}
					return errors.Join(err, res.Body.Close())
				}
				if tt.kept {
					assert.NilError(t, send(context.Background(), "r.0", strings.NewReader("x")))
				}
				ctx, cancel := context.WithCancelCause(context.Background())
				sent := make(chan struct{})
				go func() {
					defer close(sent)
					// Whether the response is lost depends on the case.
					_ = send(ctx, "r.1", strings.NewReader(strings.Repeat("x", bodyBytes)))
				}()
				<-holding
				time.Sleep(time.Duration(10+rnd.IntN(30)) * time.Millisecond)
				tt.giveUp(cancel, tr)
				<-sent
				cancel(nil)
				tr.Close()
				close(recovered)
				got := <-read
				assert.ErrorIs(t, got.err, syscall.ECONNRESET)
				assert.Assert(t, got.n < bodyBytes)
			}
		})
	}
}
