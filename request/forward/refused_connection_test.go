package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/memory"
)

// After a refusal for lack of memory, later requests on the connection run, or the connection is closed; none gets an empty
// success.
func TestRefusalForMemoryLeavesConnectionUsable(t *testing.T) {
	const callers = 40
	f := newFixture(t, signedResponse(http.StatusOK, "answer"))
	e := &edge{fixture: f}
	e.setMemory(edgeBudget, edgeBuffers)
	body := strings.Repeat("x", 256<<10)
	for range 5 {
		assert.Assert(t, f.forwarder.Memory.TryTake(edgeBudget, memory.Running))
		conns := make([]net.Conn, callers)
		readers := make([]*bufio.Reader, callers)
		var refused sync.WaitGroup
		for i := range conns {
			conn, err := net.Dial("tcp", f.proxy.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			conns[i], readers[i] = conn, bufio.NewReader(conn)
			refused.Go(func() {
				req := f.request(t, http.MethodPost, "/once/x", body)
				assert.Check(t, req.Write(conn) == nil)
				res, err := http.ReadResponse(readers[i], req)
				assert.Check(t, err == nil && res.StatusCode == http.StatusServiceUnavailable)
				_, _ = io.Copy(io.Discard, res.Body)
			})
		}
		refused.Wait()
		f.forwarder.Memory.Return(edgeBudget)
		for i, conn := range conns {
			for range 2 {
				req := f.request(t, http.MethodPost, "/once/x", "b")
				if req.Write(conn) != nil {
					break
				}
				res, err := http.ReadResponse(readers[i], req)
				if err != nil {
					break
				}
				got, err := io.ReadAll(res.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(got), "answer", "status %d", res.StatusCode)
			}
		}
	}
}
