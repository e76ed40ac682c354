package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestRewind checks the servers after the store came back from an older copy: one that has joined since is kept until
// it writes its entry again, one that has drained and gone gets nothing, and one that was removed without notice gets
// nothing until it writes again or the store would have removed its entry.
func TestRewind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegistry(newEntry("stays"), newEntry("drained"), newEntry("removed"), newEntry("back"))
		copied := []Entry{newEntry("stays"), newEntry("drained"), newEntry("removed"), newEntry("back")}
		r.Put(newEntry("drained", draining))
		r.Remove("drained")
		r.Remove("removed")
		r.Remove("back")
		r.Put(newEntry("joined"))
		time.Sleep(time.Second)
		r.Rewind(copied)
		assert.DeepEqual(t, usableIDs(r), map[string]bool{"stays": true, "joined": true})
		// Another instance's list, which lacks the new server too, must not remove it.
		r.Reset(copied, false)
		assert.DeepEqual(t, usableIDs(r), map[string]bool{"stays": true, "joined": true})
		r.Put(newEntry("back", func(e *Entry) { e.Slots = 5 }))
		r.Put(newEntry("joined"))
		assert.DeepEqual(t, usableIDs(r), map[string]bool{"stays": true, "joined": true, "back": true})
		time.Sleep(rewindRecoveryTime)
		assert.DeepEqual(t, usableIDs(r), map[string]bool{"stays": true, "joined": true, "back": true, "removed": true})
		r.Put(newEntry("drained", func(e *Entry) { e.StartedMs = 5000 }))
		assert.Assert(t, usableIDs(r)["drained"], "the next start of a server that left is a new server")
	})
}

// TestRewindRemovesWhatDoesNotComeBack checks that a server that doesn't write its entry again is removed.
func TestRewindRemovesWhatDoesNotComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegistry(newEntry("a"), newEntry("joined"))
		r.Rewind([]Entry{newEntry("a")})
		time.Sleep(missingEntryGracePeriod + time.Millisecond)
		assert.DeepEqual(t, usableIDs(r), map[string]bool{"a": true})
	})
}
