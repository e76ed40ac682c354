package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/memory"
)

func TestBufferTakesFromBudget(t *testing.T) {
	budget := memory.NewBudget(64 << 10)
	small := buffer{budget: budget, maxBytes: maxEventBytes}
	assert.NilError(t, small.append(make([]byte, freeBufferBytes)))
	assert.Equal(t, small.taken, int64(0))
	large := buffer{budget: budget, maxBytes: maxEventBytes}
	assert.NilError(t, large.append(make([]byte, freeBufferBytes+1)))
	assert.NilError(t, large.append(make([]byte, 16<<10-freeBufferBytes-1)))
	assert.Equal(t, large.taken, int64(16<<10))
	other := buffer{budget: budget, maxBytes: maxEventBytes}
	assert.NilError(t, other.append(make([]byte, freeBufferBytes+1)))
	assert.ErrorIs(t, large.append([]byte("x")), errBufferFull)
	assert.Equal(t, len(large.data), 16<<10, "what was there stays")
	other.reset()
	assert.NilError(t, large.append([]byte("x")), "what another buffer took is back")
	large.reset()
	assert.Assert(t, budget.TryTake(64<<10, memory.Running), "all of it is back")
	budget.Return(64 << 10)
	assert.NilError(t, large.append(make([]byte, 64<<10)))
	large.reset()
	limited := buffer{budget: budget, maxBytes: 8 << 10}
	assert.ErrorIs(t, limited.readAll(strings.NewReader(strings.Repeat("x", 9<<10))), errBufferFull)
	assert.Equal(t, len(limited.data), 8<<10)
	limited.reset()
	assert.NilError(t, limited.readAll(strings.NewReader(strings.Repeat("x", 8<<10-1))))
}

// Without memory to buffer it, a large response passes through as it comes, and a large event breaks its stream off.
func TestLargeResponsesWithoutBudget(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 2048)
	stream := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, firstTwoEvents+"id: 3\ndata: "+large+"\n\n")
	}
	for _, size := range []int64{1 << 20, 0} {
		f := newFixture(t, signedResponse(http.StatusOK, large))
		f.setMemory(2<<20, size)
		status, body, _ := f.do(t, f.request(t, "POST", "/once/", "b"))
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, body == large)

		f = newFixture(t, stream)
		f.setMemory(2<<20, size)
		_, body, _ = f.do(t, f.request(t, "POST", "/fixed/", "b"))
		events, _, interrupted := strings.Cut(body, "|")
		assert.Equal(t, interrupted, size == 0)
		assert.Equal(t, strings.HasPrefix(events, firstTwoEvents), true)
		assert.Equal(t, strings.Contains(events, large), size > 0)
	}
}
