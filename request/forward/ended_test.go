package forward

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runCounter counts the runs of each request by its id at backend servers, which reject some and state that.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) serve(w http.ResponseWriter, r *http.Request) {
	if rand.N(4) == 0 {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c.mu.Lock()
	c.runs[r.Header.Get("X-Id")]++
	c.mu.Unlock()
	time.Sleep(rand.N(4 * time.Millisecond))
	signedResponse(http.StatusOK, "yes")(w, r)
}

// Requests that may not be repeated are ended at any moment, where their caller is connected and where they are relayed to:
// one that is refused as not run reaches no server, now or later, and none runs twice.
func TestEndedRequestsKeepPromise(t *testing.T) {
	const rounds, requests = 20, 24
	statuses := map[int]int{}
	for _, where := range []string{"direct", "relaying instance", "relayed to", "relayed to the first of two"} {
		for range rounds {
			counter := runCounter{runs: map[string]int{}}
			reaching := newFixture(t, counter.serve, counter.serve, counter.serve)
			f, ended := reaching, reaching
			switch where {
			case "relaying instance":
				f = newPartitioned(t, reaching.relayServer(t))
				ended = f
			case "relayed to":
				f = newPartitioned(t, reaching.relayServer(t))
			case "relayed to the first of two":
				f = newPartitioned(t, reaching.relayServer(t), newFixture(t, counter.serve, counter.serve).relayServer(t))
			}
			got := make([]int, requests)
			var group sync.WaitGroup
			for i := range requests {
				group.Go(func() {
					time.Sleep(rand.N(6 * time.Millisecond))
					req := f.request(t, http.MethodPost, "/once/x", strings.Repeat("b", 1+rand.N(2)*(20<<10)))
					req.Header.Set("X-Id", fmt.Sprint(i))
					// An instance that stops closes the connections of its callers.
					req.Close = true
					got[i], _, _ = f.do(t, req)
				})
			}
			time.Sleep(rand.N(8 * time.Millisecond))
			ended.forwarder.EndRequests()
			group.Wait()
			time.Sleep(20 * time.Millisecond)
			counter.mu.Lock()
			for i, status := range got {
				statuses[status]++
				runs := counter.runs[fmt.Sprint(i)]
				assert.Check(t, runs <= 1, "%s: a request ran %d times", where, runs)
				assert.Check(t, status != http.StatusServiceUnavailable || runs == 0, "%s: a request that was refused has run", where)
				assert.Check(t, status != http.StatusOK || runs == 1, "%s: a request that was served hasn't run", where)
			}
			counter.mu.Unlock()
		}
	}
	for _, status := range []int{http.StatusOK, http.StatusBadGateway, http.StatusServiceUnavailable} {
		assert.Check(t, statuses[status] > 0, "no request with status %d", status)
	}
	t.Log(statuses)
}
