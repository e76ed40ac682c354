package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"go.uber.org/zap"
)

const (
	// crashesToQuarantine is the number of crashes after which a request or a part of its prompt is put into quarantine. For
	// what servers have answered within provenTime it is crashesOfProven, since other causes are more likely then.
	crashesToQuarantine, crashesOfProven = 3, 6
	provenTime                           = 5 * time.Minute
	// crashSpacing is the time within which crashes count as one: servers that are lost together say little about the
	// prompts on them.
	crashSpacing = 200 * time.Millisecond
	// minRequestMoments is the number of separate moments at which the crashes of a whole request must have been.
	minRequestMoments = 2
	// crashMaxAge is the time for which a crash counts.
	crashMaxAge = 30 * time.Second
	// settleTime is the time after the beginning of a quarantine within which crashes are put down to requests that were
	// sent before, and not to other parts.
	settleTime = time.Second
	// answerHold is the time after an answer up to which crashes don't count against its parts. It covers the error of
	// the times that other instances tell.
	answerHold = time.Second
	// maxSuspicions and maxAnswered bound the tables of what is suspected and of what was answered, each for parts of
	// prompts and for whole requests. The oldest entries yield.
	maxSuspicions, maxAnswered = 4096, 4096
	// maxCrashesPerPart bounds the crashes that are kept of one part.
	maxCrashesPerPart = 16
	// maxQuarantineParts bounds the parts of one quarantine.
	maxQuarantineParts = 16
	// maxSoundDelay is the longest delay before other instances are told of sound parts. Most of them find out by
	// themselves meanwhile.
	maxSoundDelay = 150 * time.Millisecond
)

// suspicion holds the crashes in which a request or a part of its prompt was present.
type suspicion struct {
	// crashes holds the times of the crashes by server.
	crashes map[string]time.Time
	// told is set if other instances know of one of the crashes.
	told bool
}

// moments returns the number of crashes of which none is near another.
func (s *suspicion) moments() int {
	n, last := 0, time.Time{}
	for _, at := range slices.SortedFunc(maps.Values(s.crashes), time.Time.Compare) {
		if n == 0 || at.Sub(last) >= crashSpacing {
			n, last = n+1, at
		}
	}
	return n
}

// prune removes the crashes that are too old.
func (s *suspicion) prune(now time.Time, maxAge time.Duration) {
	maps.DeleteFunc(s.crashes, func(_ string, at time.Time) bool { return now.Sub(at) > maxAge })
}

// maxAgeOf returns the time for which a crash counts against a key.
func maxAgeOf(key string) time.Duration {
	if isRequestKey(key) {
		return requestCrashMaxAge
	}
	return crashMaxAge
}

// newLRU returns a table of the newest n values.
func newLRU[V any](n int) *simplelru.LRU[string, V] {
	// An error means that the size isn't positive.
	lru, _ := simplelru.NewLRU[string, V](n, nil)
	return lru
}

// init creates the LRU tables before their first use. The caller holds mu.
func (t *Table) init() {
	if t.crashes != nil {
		return
	}
	t.crashes = newLRU[*crashRecord](maxCrashes)
	t.partSuspicions, t.requestSuspicions = newLRU[*suspicion](maxSuspicions), newLRU[*suspicion](maxSuspicions)
	t.partsAnswered, t.requestsAnswered = newLRU[time.Time](maxAnswered), newLRU[time.Time](maxAnswered)
}

// suspicionTables returns the tables of suspicions. The caller holds mu.
func (t *Table) suspicionTables() []*simplelru.LRU[string, *suspicion] {
	return []*simplelru.LRU[string, *suspicion]{t.partSuspicions, t.requestSuspicions}
}

// suspicions returns the table with the suspicion against a key. The caller holds mu.
func (t *Table) suspicions(key string) *simplelru.LRU[string, *suspicion] {
	if isRequestKey(key) {
		return t.requestSuspicions
	}
	return t.partSuspicions
}

// answered returns the table with the time at which a key was last answered. The caller holds mu.
func (t *Table) answered(key string) *simplelru.LRU[string, time.Time] {
	if isRequestKey(key) {
		return t.requestsAnswered
	}
	return t.partsAnswered
}

// addCrash records a crash and returns the quarantines that begin because of it. The caller holds mu.
func (t *Table) addCrash(c Crash) []*entry {
	now := time.Now()
	record := t.remember(c)
	if record.explainedBy != "" {
		return nil
	}
	if now.Before(t.settlesAt) {
		t.explain(c.Server, t.settledBy)
		return nil
	}
	changed, accounted := t.failTrials(c, now)
	if accounted != "" {
		t.explain(c.Server, accounted)
		return changed
	}
	isGuilty := false
	for _, key := range c.Parts {
		isGuilty = t.suspect(key, c.Server, c.At, now) || isGuilty
	}
	if !isGuilty {
		return changed
	}
	return append(changed, t.convict(c.Pool, now)...)
}

// suspect has a crash count against a key, unless the key was answered since or it counts already. It reports whether there
// are enough crashes now. The caller holds mu.
func (t *Table) suspect(key, server string, at, now time.Time) bool {
	if answeredAt, ok := t.answered(key).Peek(key); ok && at.Sub(answeredAt) < answerHold || now.Sub(at) > maxAgeOf(key) {
		return false
	}
	table := t.suspicions(key)
	s, ok := table.Get(key)
	if !ok {
		s = &suspicion{crashes: map[string]time.Time{}}
		table.Add(key, s)
	}
	s.prune(now, maxAgeOf(key))
	if _, known := s.crashes[server]; known || len(s.crashes) >= maxCrashesPerPart {
		return false
	}
	s.crashes[server] = at
	return t.isGuilty(key, s)
}

// convict begins the quarantines for which there are enough crashes. The caller holds mu.
func (t *Table) convict(pool string, now time.Time) (changed []*entry) {
	for {
		parts, requests := t.culprits(now)
		var guilty [][]string
		if len(parts) > 0 {
			guilty = append(guilty, parts)
		}
		for _, key := range requests {
			guilty = append(guilty, []string{key})
		}
		if len(guilty) == 0 {
			return changed
		}
		first := guilty[0][0]
		s, _ := t.suspicions(first).Peek(first)
		crashes := s.moments()
		for server := range maps.Clone(s.crashes) {
			t.explain(server, quarantineID(guilty[0]))
		}
		for _, keys := range guilty {
			if e := t.begin(keys, pool, crashes, now); e != nil {
				changed = append(changed, e)
			}
		}
	}
}

// failTrials begins the quarantines again whose trial may have caused the crash. It also returns the id of a quarantine
// that accounts for the crash; empty if none does. The caller holds mu.
func (t *Table) failTrials(c Crash, now time.Time) (changed []*entry, accounted string) {
	for _, e := range t.covering(c.Parts) {
		accounted = e.ID
		if e := t.begin(e.Parts, c.Pool, e.Crashes+1, now); e != nil {
			changed = append(changed, e)
		}
	}
	return changed, accounted
}

// culprits returns what was present in most crashes, if they are enough: parts of prompts and whole requests. It can't be
// told which of the parts that were present in the very same crashes is to blame, so that only prompts with all of them
// are refused. Requests that were present in the same crashes are refused each. The caller holds mu.
func (t *Table) culprits(now time.Time) (parts, requests []string) {
	var most map[string]time.Time
	for _, table := range t.suspicionTables() {
		for _, key := range table.Keys() {
			s, _ := table.Peek(key)
			if s.prune(now, maxAgeOf(key)); len(s.crashes) == 0 {
				table.Remove(key)
				continue
			}
			if len(s.crashes) < len(most) || !t.isGuilty(key, s) {
				continue
			}
			if len(s.crashes) > len(most) {
				most, parts, requests = s.crashes, nil, nil
			}
			switch {
			case isRequestKey(key):
				requests = append(requests, key)
			case len(parts) == 0 || maps.EqualFunc(s.crashes, most, func(time.Time, time.Time) bool { return true }):
				parts = append(parts, key)
			}
		}
	}
	slices.Sort(parts)
	return parts[:min(len(parts), maxQuarantineParts)], requests
}

// isGuilty reports whether a key was present in enough crashes. A whole request may be sent to several servers within
// crashSpacing, which crash one after the other, so that its crashes need not all be separate, unless it was answered
// lately: many callers may send it, and have it at many servers that are lost together. The caller holds mu.
func (t *Table) isGuilty(key string, s *suspicion) bool {
	if isRequestKey(key) && !t.isProven(key) {
		return len(s.crashes) >= crashesToQuarantine && s.moments() >= minRequestMoments
	}
	return s.moments() >= t.requiredCrashes(key)
}

// CrashCount returns the number of crashes that count against a whole request.
func (t *Table) CrashCount(fingerprint string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	key := requestPrefix + fingerprint
	s, ok := t.requestSuspicions.Peek(key)
	if !ok {
		return 0
	}
	s.prune(time.Now(), maxAgeOf(key))
	return len(s.crashes)
}

// requiredCrashes returns the number of separate crashes after which a part is put into quarantine. The caller holds mu.
func (t *Table) requiredCrashes(part string) int {
	if t.isProven(part) {
		return crashesOfProven
	}
	return crashesToQuarantine
}

// isProven reports whether servers have answered a prompt with the part lately. The caller holds mu.
func (t *Table) isProven(part string) bool {
	at, ok := t.answered(part).Peek(part)
	return ok && time.Since(at) < provenTime
}

// isDoubtful reports whether the next crash would put a part into quarantine at an instance that doesn't know that it is
// proven, while this one does. The caller holds mu.
func (t *Table) isDoubtful(part string) bool {
	s, suspected := t.suspicions(part).Peek(part)
	if !suspected || !t.isProven(part) {
		return false
	}
	if isRequestKey(part) {
		return len(s.crashes) >= crashesToQuarantine-1
	}
	return s.moments() == crashesToQuarantine-1
}

// RecordAnswered records that a request was answered to its end, so that neither the request nor a part of its prompt
// crashes servers.
func (t *Table) RecordAnswered(r Request) { t.recordAnswered(r.keys()) }

// recordAnswered records that requests with the keys were answered.
func (t *Table) recordAnswered(keys []string) {
	if len(keys) == 0 {
		return
	}
	t.mu.Lock()
	t.init()
	now := time.Now()
	var sound, told []string
	for _, key := range keys {
		t.answered(key).Add(key, now)
		s, suspected := t.suspicions(key).Peek(key)
		if suspected || len(t.byPart[key]) > 0 {
			sound = append(sound, key)
		}
		if suspected && s.told || len(t.byPart[key]) > 0 {
			told = append(told, key)
		}
	}
	changed := t.clear(sound)
	t.queueSound(told)
	update := t.updateOf(changed)
	t.mu.Unlock()
	t.notify(update)
}

// clear ends the suspicion against parts that are sound and takes them out of quarantines, which end if no part is left.
// It returns the changed quarantines. The caller holds mu.
func (t *Table) clear(sound []string) []*entry {
	now := time.Now()
	var changed []*entry
	for _, key := range sound {
		if s, ok := t.suspicions(key).Peek(key); ok && s.moments() > 1 {
			t.Log.Info("suspicion_cleared", zap.String("part", key), zap.Int("crashes", len(s.crashes)))
		}
		t.suspicions(key).Remove(key)
		t.answered(key).Add(key, now)
		changed = append(changed, t.acquit(key, "answered", func(*entry) bool { return true })...)
	}
	return changed
}

// acquit takes a part out of the quarantines for which applies returns true. They end if no part is left. It returns the
// changed quarantines. The caller holds mu.
func (t *Table) acquit(key, reason string, applies func(*entry) bool) []*entry {
	var changed []*entry
	for _, e := range slices.Clone(t.byPart[key]) {
		if !applies(e) {
			continue
		}
		t.lift(e, reason)
		changed = append(changed, e)
		rest := slices.DeleteFunc(slices.Clone(e.Parts), func(part string) bool { return part == key })
		if len(rest) == 0 {
			changed = append(changed, t.reopen(e)...)
			continue
		}
		t.transferExplained(e.ID, quarantineID(rest))
		if narrower := t.begin(rest, e.Pool, e.Crashes, time.Now()); narrower != nil {
			changed = append(changed, narrower)
		}
	}
	return changed
}

// settle ends all suspicions after a quarantine has begun, until crashes tell something new. The caller holds mu.
func (t *Table) settle(e *entry, now time.Time) {
	for _, table := range t.suspicionTables() {
		for _, key := range table.Keys() {
			s, _ := table.Peek(key)
			for server := range s.crashes {
				if record, ok := t.crashes.Peek(server); ok {
					record.explainedBy = e.ID
				}
			}
		}
		table.Purge()
	}
	t.settlesAt, t.settledBy = now.Add(settleTime), e.ID
}

// unsentParts holds the keys of parts of which the other instances aren't told yet.
type unsentParts struct{ sound, proven map[string]bool }

// queueSound has the other instances told of sound parts after a while, unless another instance tells so before. The
// caller holds mu.
func (t *Table) queueSound(keys []string) {
	t.scheduleSend(len(keys))
	for _, key := range keys {
		t.unsent.sound[key] = true
	}
}

// queueProven does the same for those of some parts to which applies returns true: they have been answered lately. The
// caller holds mu.
func (t *Table) queueProven(keys []string, applies func(string) bool) {
	for _, key := range keys {
		if applies(key) {
			t.scheduleSend(1)
			t.unsent.proven[key] = true
		}
	}
}

// markProven records that another instance knows a part to have been answered lately. It returns the quarantines that
// end because they are based on too few crashes for such a part. The caller holds mu.
func (t *Table) markProven(key string) []*entry {
	if !t.answered(key).Contains(key) {
		t.answered(key).Add(key, time.Now().Add(-answerHold))
	}
	return t.acquit(key, "proven", func(e *entry) bool { return e.Crashes < crashesOfProven })
}

// scheduleSend sends the unsent parts after a while unless that is scheduled or there are none. The caller holds mu.
func (t *Table) scheduleSend(n int) {
	if n > 0 && t.unsent.sound == nil {
		t.unsent = unsentParts{sound: map[string]bool{}, proven: map[string]bool{}}
		time.AfterFunc(rand.N(maxSoundDelay), t.sendParts)
	}
}

// sendParts tells the other instances of sound and proven parts.
func (t *Table) sendParts() {
	t.mu.Lock()
	update := Update{Sound: slices.Sorted(maps.Keys(t.unsent.sound)), Proven: slices.Sorted(maps.Keys(t.unsent.proven))}
	t.unsent = unsentParts{}
	t.mu.Unlock()
	t.send(update)
}
