// Package quarantine keeps requests away from backend servers that crash under them.
//
// When a server crashes, the requests that it was about to answer are suspected, and so are the parts of their prompts. A
// request that is answered shows that it is sound, and that the parts of its prompt are. What was present in several
// crashes, and in no answer since, is put into quarantine: the same request, or those with the part, are refused. The
// instances exchange crashes, what is sound and quarantines, so that each counts the crashes of all, and keep the
// quarantines in the platform's store.
//
// A quarantine ends with a trial: after its period, one instance lets one request through. If a server crashes under it,
// the quarantine begins again with twice the period; if it is answered, the quarantine is lifted.
package quarantine

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"go.uber.org/zap"
)

const (
	// firstPeriod is the period of a new quarantine. It doubles with each trial that fails, up to maxPeriod.
	firstPeriod = 2 * time.Minute
	maxPeriod   = 24 * time.Hour
	// trialTimeout is the time after which another request is let through if a trial had no result. It is longer than
	// callers wait for an answer.
	trialTimeout = time.Minute
	// trialRetryAfter is the Retry-After value while a trial is under way or another instance may make it.
	trialRetryAfter = 2 * time.Second
	// retention is the time for which a quarantine is kept after its end, so that an instance that knows an earlier
	// revision doesn't bring it back.
	retention = 10 * time.Minute
	// maxEntries bounds the number of quarantines of parts of prompts, and also that of whole requests.
	maxEntries = 256
)

// Table holds the quarantines and what is suspected. Set the exported fields before the first call.
type Table struct {
	Log *zap.Logger
	// Probe opens a connection to a server's address and closes it again.
	Probe func(address string) error
	// OtherServers returns the addresses of up to n servers that count as live, without the one at the address. It is called
	// from several goroutines; nil means that there are none.
	OtherServers func(address string, n int) []string
	// Send sends an update to the other instances; nil means that there are none.
	Send func(Update)
	// MayTry reports whether this instance is the one that makes the trial of the quarantine with the id; nil means always.
	MayTry func(id string) bool
	// OnChange is called after quarantines were added or changed; it may be nil.
	OnChange func()

	// inForce is set while there are quarantines that aren't lifted.
	inForce atomic.Bool

	mu sync.Mutex
	// entries holds the quarantines by id.
	entries map[string]*entry
	// byPart holds the quarantines that aren't lifted by each of their parts.
	byPart map[string][]*entry
	// crashes holds the newest crashes by server. The LRU tables are nil before the first use; see init.
	crashes *simplelru.LRU[string, *crashRecord]
	// partSuspicions and requestSuspicions hold what the crashes are counted against: parts of prompts and whole requests.
	partSuspicions, requestSuspicions *simplelru.LRU[string, *suspicion]
	// partsAnswered and requestsAnswered hold the times at which parts of prompts and whole requests were last answered.
	partsAnswered, requestsAnswered *simplelru.LRU[string, time.Time]
	// unsent holds what the other instances aren't told yet.
	unsent unsentParts
	// settlesAt is the time until which crashes are put down to the newest quarantine, and settledBy its id.
	settlesAt time.Time
	settledBy string
	// unconfirmed holds, by server, the requests whose connections it ended while it isn't known yet whether it crashed.
	unconfirmed map[string]*unconfirmed
	// ownCrashes holds the crashes that this instance has seen lately.
	ownCrashes []Crash
	// ended is set if a quarantine was removed that may still be in the store.
	ended bool
	// announced is the number of quarantines that were announced in turn.
	announced int
}

// Quarantine describes a quarantine.
type Quarantine struct {
	// ID identifies the parts.
	ID string
	// Parts are the keys of the parts that a prompt must all have to be refused, in order, or the key of a whole request.
	// Ids of parts that are long or no text are hashed.
	Parts []string
	// Pool is the name of the pool whose servers crashed.
	Pool string
	// Crashes is the number of separate crashes on which it is based.
	Crashes int
	// Revision counts the changes. The highest revision holds.
	Revision int
	// Lifted is set if requests are not refused.
	Lifted bool
	// Wrong is set if it was lifted because what was in it is sound, and not by an operator.
	Wrong bool
	// Until is the time of the next trial.
	Until time.Time
	// Period is the time from the beginning to the next trial.
	Period time.Duration
	// Refused is the number of requests that this instance refused.
	Refused int
}

// entry is a quarantine in the table.
type entry struct {
	Quarantine
	// trialStartedAt is the time at which the last trial began here; zero if there was none.
	trialStartedAt time.Time
	// storedRevision is the revision that is known to be in the store; 0 if there is none.
	storedRevision int
}

// Refusal is the reason why a request is kept away from the servers.
type Refusal struct {
	Quarantine Quarantine
	// RetryAfter is the time after which a request with the same parts may be accepted.
	RetryAfter time.Duration
}

// quarantineID returns the id of the quarantine of some parts.
func quarantineID(keys []string) string {
	return strconv.FormatUint(xxhash.Sum64String(strings.Join(keys, ",")), 16)
}

// Check reports whether a request is refused. It may begin a trial.
func (t *Table) Check(r Request) (Refusal, bool) {
	if !t.inForce.Load() {
		return Refusal{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now, keys := time.Now(), r.keys()
	for _, e := range t.covering(keys) {
		if wait := e.Until.Sub(now); wait > 0 {
			e.Refused++
			return Refusal{Quarantine: e.Quarantine, RetryAfter: wait}, true
		}
		if now.Sub(e.trialStartedAt) < trialTimeout || t.MayTry != nil && !t.MayTry(e.ID) {
			e.Refused++
			return Refusal{Quarantine: e.Quarantine, RetryAfter: trialRetryAfter}, true
		}
		e.trialStartedAt = now
		t.Log.Info("quarantine_trial", e.logFields()...)
	}
	return Refusal{}, false
}

// covering returns the quarantines that aren't lifted and whose parts are all among the keys. The caller holds mu.
func (t *Table) covering(keys []string) []*entry {
	var list []*entry
	for _, key := range keys {
		for _, e := range t.byPart[key] {
			if e.Parts[0] == key && containsAll(keys, e.Parts) {
				list = append(list, e)
			}
		}
	}
	return list
}

// containsAll reports whether the sorted keys contain all parts.
func containsAll(keys, parts []string) bool {
	for _, part := range parts {
		if _, ok := slices.BinarySearch(keys, part); !ok {
			return false
		}
	}
	return true
}

// List returns all quarantines, also those that were lifted lately, ordered by id.
func (t *Table) List() []Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Quarantine, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, e.Quarantine)
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Lift lifts the quarantine with the id, at the request of an operator, and reports whether there was one.
func (t *Table) Lift(id string) bool {
	t.mu.Lock()
	e := t.entries[id]
	ok := e != nil && !e.Lifted
	var changed []*entry
	if ok {
		t.lift(e, reasonOperator)
		changed = []*entry{e}
	}
	update := t.updateOf(changed)
	t.mu.Unlock()
	t.notify(update)
	return ok
}

// reasonOperator is the reason for which an operator's decision lifts a quarantine.
const reasonOperator = "operator"

// lift lifts a quarantine. The caller holds mu.
func (t *Table) lift(e *entry, reason string) {
	e.Lifted, e.Wrong, e.Until = true, reason != reasonOperator, time.Now()
	e.Revision++
	t.Log.Warn("quarantine_lifted", append(e.logFields(), zap.String("reason", reason))...)
	t.rebuildIndex()
}

// begin begins a quarantine, or an earlier one of the same parts again. It returns nil if it is in force already or there
// are too many. The caller holds mu.
func (t *Table) begin(keys []string, pool string, crashes int, now time.Time) *entry {
	id := quarantineID(keys)
	e := t.entries[id]
	switch {
	case e == nil:
		if !t.makeRoom(keys, now) {
			t.Log.Error("quarantine_table_full", zap.Strings("parts", keys), zap.Int("quarantines", len(t.entries)))
			return nil
		}
		e = &entry{Quarantine: Quarantine{ID: id, Parts: keys, Pool: pool}}
		t.add(e)
	case !e.Lifted && now.Before(e.Until):
		return nil
	}
	e.Period = min(max(firstPeriod, 2*e.Period), maxPeriod)
	e.Until, e.Lifted, e.Wrong, e.Crashes = now.Add(e.Period), false, false, crashes
	e.Revision++
	t.Log.Warn("prompt_quarantined", e.logFields()...)
	t.settle(e, now)
	t.rebuildIndex()
	return e
}

// add adds an entry to the table. The caller holds mu and rebuilds the index.
func (t *Table) add(e *entry) {
	if t.entries == nil {
		t.entries = map[string]*entry{}
	}
	t.entries[e.ID] = e
}

// makeRoom reports whether there is room for a quarantine of the keys. That of a whole request replaces the one that ends
// first: callers can make up any number of them. The caller holds mu.
func (t *Table) makeRoom(keys []string, now time.Time) bool {
	t.removeEnded(now)
	isRequest, n := isRequestKey(keys[0]), 0
	var first *entry
	for _, e := range t.entries {
		if isRequestKey(e.Parts[0]) != isRequest {
			continue
		}
		n++
		if first == nil || e.Until.Before(first.Until) {
			first = e
		}
	}
	if n < maxEntries {
		return true
	}
	if !isRequest {
		return false
	}
	t.Log.Info("quarantine_replaced", first.logFields()...)
	delete(t.entries, first.ID)
	t.rebuildIndex()
	return true
}

// removeEnded removes the quarantines whose retention is over. The caller holds mu.
func (t *Table) removeEnded(now time.Time) {
	for id, e := range t.entries {
		if now.Sub(e.Until) > retention+e.Period {
			delete(t.entries, id)
			t.ended = true
			t.rebuildIndex()
		}
	}
}

// rebuildIndex rebuilds byPart after a change of the entries. The caller holds mu.
func (t *Table) rebuildIndex() {
	t.byPart = map[string][]*entry{}
	for _, e := range t.entries {
		if e.Lifted {
			continue
		}
		for _, part := range e.Parts {
			t.byPart[part] = append(t.byPart[part], e)
		}
	}
	t.inForce.Store(len(t.byPart) > 0)
}

// logFields returns the fields that describe a quarantine in the log.
func (q *Quarantine) logFields() []zap.Field {
	return []zap.Field{
		zap.String("quarantine", q.ID), zap.Strings("parts", q.Parts), zap.String("pool", q.Pool),
		zap.Int("crashes", q.Crashes), zap.Int("revision", q.Revision), zap.Duration("period", q.Period), zap.Int("refused", q.Refused),
	}
}
