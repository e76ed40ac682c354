package entry

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// drainRounds is the number of servers that are stopped under load, and drainCallers the number of callers of each.
const drainRounds, drainCallers = 20, 40

// accepted holds the requests that a server has taken and those whose answer has reached the caller.
type accepted struct {
	mu       sync.Mutex
	taken    map[string]bool
	answered map[string]bool
}

// A planned stop under load cuts no request that the server has taken, on new connections and on kept ones that are used
// again at the moment of the stop.
func TestDrainCutsNoAcceptedRequest(t *testing.T) {
	for round := range drainRounds {
		a := &accepted{taken: map[string]bool{}, answered: map[string]bool{}}
		s := &Server{Listen: "127.0.0.1:0", Log: zap.NewNop(), HeaderBytes: 1 << 14, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			a.mu.Lock()
			a.taken[r.URL.Path] = true
			a.mu.Unlock()
			time.Sleep(time.Duration(rand.N(3000)) * time.Microsecond)
			_, _ = fmt.Fprint(w, r.URL.Path)
		})
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Serve(ctx, ln) }()
		var callers sync.WaitGroup
		for n := range drainCallers {
			callers.Go(func() { a.call(ln.Addr().String(), fmt.Sprintf("/%d/%d", round, n)) })
		}
		for a.takenCount() <= drainCallers {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Duration(rand.N(20)) * time.Millisecond)
		s.BeginDrain()
		time.Sleep(time.Duration(rand.N(10)) * time.Millisecond)
		assert.NilError(t, s.Drain(ctx))
		cancel()
		assert.NilError(t, <-done)
		callers.Wait()
		for path := range a.taken {
			assert.Check(t, a.answered[path], "%s was taken and not answered", path)
		}
	}
}

// takenCount returns the number of requests that the server has taken.
func (a *accepted) takenCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.taken)
}

// call sends requests one after the other, mostly on the same connection, until a connection can't be opened any more.
func (a *accepted) call(address, prefix string) {
	for n := 0; ; {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		for keep := true; keep; n++ {
			time.Sleep(time.Duration(rand.N(4000)) * time.Microsecond)
			path := fmt.Sprintf("%s/%d", prefix, n)
			if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
				break
			}
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				break
			}
			var got string
			if _, err := fmt.Fscan(res.Body, &got); err == nil && got == path {
				a.mu.Lock()
				a.answered[path] = true
				a.mu.Unlock()
			}
			keep = !res.Close
		}
		_ = conn.Close()
	}
}
