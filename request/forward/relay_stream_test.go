package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A stream isn't given up when all servers count as unreachable and no instance is left to which it could be relayed.
func TestUnreachablePoolKeepsStreamWithoutRelay(t *testing.T) {
	var f *fixture
	f = newFixture(t, pausingStream(func() {
		time.Sleep(20 * time.Millisecond)
		f.suspect("s1")
		f.suspect("s0")
		time.Sleep(50 * time.Millisecond)
	}), idStream(betweenEvents))
	f.setMaxAttempts(t, 5)
	f.forwarder.FindRelay = func(string, map[string]bool) (string, bool) { return "", false }
	_, got := f.stream(t, "")
	assert.Check(t, got == received{"1 2 3 4 5 6", true}, "%v", got)
}
