package caller

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// drainRounds is the number of servers that are stopped under load, and drainCallers the number of callers of each.
	drainRounds, drainCallers = 5, 30
	// drainAnswerBytes is the size of the answers, which is more than the system's buffers of a connection take at once
	// while the caller reads slowly.
	drainAnswerBytes = 256 << 10
)

// A planned stop under load cuts no request that a backend server has got: the callers, some of whom read slowly, get the
// whole answers.
func TestDrainCutsNoBegunRequest(t *testing.T) {
	for range drainRounds {
		var mu sync.Mutex
		begun, answered := map[string]bool{}, map[string]bool{}
		s := newStack(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			begun[r.Header.Get("X-Name")] = true
			mu.Unlock()
			time.Sleep(time.Duration(rand.N(5000)) * time.Microsecond)
			_, _ = io.WriteString(w, strings.Repeat("x", drainAnswerBytes))
		}), nil)
		call := func(conn net.Conn, r *bufio.Reader, name string, slow bool) (ok, keep bool) {
			// The end of a process closes its connections, which the end of a server in this one may leave open.
			assert.Check(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			if _, err := fmt.Fprintf(conn, "POST /v1/services/orders/list HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nX-Name: %s\r\nContent-Length: 2\r\n\r\n{}", testKey, name); err != nil {
				return false, false
			}
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				return false, false
			}
			if slow {
				time.Sleep(50 * time.Millisecond)
			}
			body, err := io.ReadAll(res.Body)
			return err == nil && len(body) == drainAnswerBytes, err == nil && !res.Close && res.StatusCode == http.StatusOK
		}
		var callers sync.WaitGroup
		for n := range drainCallers {
			callers.Go(func() {
				for i := 0; ; {
					conn, err := net.Dial("tcp", s.server.Address())
					if err != nil {
						return
					}
					r := bufio.NewReader(conn)
					for keep := true; keep; i++ {
						time.Sleep(time.Duration(rand.N(4000)) * time.Microsecond)
						name := fmt.Sprintf("%d-%d", n, i)
						var ok bool
						ok, keep = call(conn, r, name, n%3 == 0)
						mu.Lock()
						answered[name] = ok
						mu.Unlock()
					}
					_ = conn.Close()
				}
			})
		}
		for isLoaded := false; !isLoaded; time.Sleep(time.Duration(rand.N(20)) * time.Millisecond) {
			mu.Lock()
			isLoaded = len(begun) > drainCallers
			mu.Unlock()
		}
		assert.NilError(t, s.server.Drain(t.Context()))
		s.stop()
		callers.Wait()
		mu.Lock()
		for name := range begun {
			assert.Check(t, answered[name], "%s was begun and not answered whole", name)
		}
		mu.Unlock()
	}
}
