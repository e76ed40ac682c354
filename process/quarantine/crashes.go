package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxCrashes bounds the crashes that are remembered, and maxCrashKeys the keys of one of them.
	maxCrashes, maxCrashKeys = 256, 256
	// requestCrashMaxAge is the time for which a crash counts against a whole request. It is longer than crashMaxAge, since
	// the same request rarely is at several servers that crash for other reasons.
	requestCrashMaxAge = 10 * time.Minute
)

// Crash is the crash of a backend server.
type Crash struct {
	// Server identifies the start of the server.
	Server string
	// Pool is the name of the server's pool.
	Pool string
	// Parts are the keys of the requests that the server was about to answer, and of the parts of their prompts.
	Parts []string
	At    time.Time
}

// crashRecord is a remembered crash.
type crashRecord struct {
	pool string
	at   time.Time
	keys map[string]struct{}
	// explainedBy is the id of the quarantine that accounts for the crash; empty if there is none.
	explainedBy string
}

// remember adds what is told of a crash to its record. The caller holds mu.
func (t *Table) remember(c Crash) *crashRecord {
	record, ok := t.crashes.Get(c.Server)
	if !ok {
		record = &crashRecord{pool: c.Pool, at: c.At, keys: map[string]struct{}{}}
		t.crashes.Add(c.Server, record)
	}
	for _, key := range c.Parts {
		if len(record.keys) < maxCrashKeys {
			record.keys[key] = struct{}{}
		}
	}
	return record
}

// explain puts a crash down to a quarantine: it no longer counts against anything else. The caller holds mu.
func (t *Table) explain(server, quarantine string) {
	if record, ok := t.crashes.Peek(server); ok {
		record.explainedBy = quarantine
	}
	for _, suspicions := range t.suspicionTables() {
		for _, key := range suspicions.Keys() {
			s, _ := suspicions.Peek(key)
			if delete(s.crashes, server); len(s.crashes) == 0 {
				suspicions.Remove(key)
			}
		}
	}
}

// transferExplained puts the crashes that are put down to one quarantine down to another. The caller holds mu.
func (t *Table) transferExplained(from, to string) {
	for _, record := range t.crashes.Values() {
		if record.explainedBy == from {
			record.explainedBy = to
		}
	}
	if t.settledBy == from {
		t.settledBy = to
	}
}

// reopen has the crashes count again that were put down to a quarantine which turned out to be wrong, except against what
// was in quarantine. It returns the quarantines that begin because of them. The caller holds mu.
func (t *Table) reopen(wrong *entry) []*entry {
	if t.settledBy == wrong.ID {
		t.settledBy, t.settlesAt = "", time.Time{}
	}
	now, isGuilty := time.Now(), false
	for _, server := range t.crashes.Keys() {
		record, _ := t.crashes.Peek(server)
		if record.explainedBy != wrong.ID {
			continue
		}
		for _, key := range wrong.Parts {
			delete(record.keys, key)
		}
		if inForce := t.covering(slices.Sorted(maps.Keys(record.keys))); len(inForce) > 0 {
			record.explainedBy = inForce[0].ID
			continue
		}
		record.explainedBy = ""
		for key := range record.keys {
			isGuilty = t.suspect(key, server, record.at, now) || isGuilty
		}
	}
	if !isGuilty {
		return nil
	}
	return t.convict(wrong.Pool, now)
}
