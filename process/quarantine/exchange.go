package quarantine

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/wire"
)

const (
	// partsPerMessage and entriesPerMessage bound one message to another instance, so that it fits in a datagram.
	partsPerMessage, entriesPerMessage = 24, 4
	// maxAnnounced is the number of quarantines that are announced at once; more are announced in turn.
	maxAnnounced = 16
)

// Update is what one instance tells the others.
type Update struct {
	Crashes []Crash
	// Sound are the keys of suspected parts that were part of an answered prompt.
	Sound []string
	// Proven are the keys of suspected parts that were part of an answered prompt lately, before the newest crash.
	Proven []string
	// Quarantines are quarantines that began or were changed.
	Quarantines []Announcement
}

// Announcement is a quarantine as one instance tells the others.
type Announcement struct {
	Quarantine
	// Stored is set if the quarantine is in the store.
	Stored bool
}

// isEmpty reports whether there is nothing to tell.
func (u *Update) isEmpty() bool {
	return len(u.Crashes)+len(u.Sound)+len(u.Proven)+len(u.Quarantines) == 0
}

// updateOf returns an update with some quarantines. The caller holds mu.
func (t *Table) updateOf(changed []*entry) Update {
	var u Update
	for _, e := range changed {
		u.Quarantines = append(u.Quarantines, e.announcement())
	}
	return u
}

func (e *entry) announcement() Announcement {
	return Announcement{Quarantine: e.Quarantine, Stored: e.storedRevision == e.Revision}
}

// notify tells the other instances and the owner of the table of a change. The caller doesn't hold mu.
func (t *Table) notify(u Update) {
	if len(u.Quarantines) > 0 && t.OnChange != nil {
		t.OnChange()
	}
	t.send(u)
}

// send sends an update unless it is empty.
func (t *Table) send(u Update) {
	if t.Send != nil && !u.isEmpty() {
		t.Send(u)
	}
}

// Repeat returns what is told to the other instances once a second, in case that they missed it: the newest crashes and
// the quarantines, in turn if there are many.
func (t *Table) Repeat() Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownCrashes = slices.DeleteFunc(t.ownCrashes, isOld)
	t.removeEnded(time.Now())
	u := Update{Crashes: slices.Clone(t.ownCrashes)}
	ids := slices.Sorted(maps.Keys(t.entries))
	for range min(len(ids), maxAnnounced) {
		t.announced++
		u.Quarantines = append(u.Quarantines, t.entries[ids[t.announced%len(ids)]].announcement())
	}
	return u
}

// Merge records what another instance told.
func (t *Table) Merge(u Update) {
	if u.isEmpty() {
		return
	}
	t.mu.Lock()
	t.init()
	changed := t.clear(u.Sound)
	for _, key := range u.Sound {
		delete(t.unsent.sound, key)
	}
	for _, key := range u.Proven {
		delete(t.unsent.proven, key)
		changed = append(changed, t.markProven(key)...)
	}
	for _, c := range u.Crashes {
		changed = append(changed, t.addCrash(c)...)
		t.markTold(c.Parts)
		t.queueProven(c.Parts, t.isDoubtful)
	}
	isNew := false
	for _, a := range u.Quarantines {
		e := t.mergeQuarantine(a)
		if e == nil {
			continue
		}
		isNew = true
		switch {
		case !e.Lifted:
			changed = append(changed, t.overrule(a)...)
		case e.Wrong:
			changed = append(changed, t.reopen(e)...)
		}
	}
	update := t.updateOf(changed)
	t.mu.Unlock()
	if isNew && t.OnChange != nil {
		t.OnChange()
	}
	t.notify(update)
}

// markTold marks the suspected parts of which another instance knows a crash. The caller holds mu.
func (t *Table) markTold(parts []string) {
	for _, key := range parts {
		if s, ok := t.suspicions(key).Peek(key); ok {
			s.told = true
		}
	}
}

// mergeQuarantine takes a quarantine over if it is newer than the known one, and returns it; otherwise nil. The caller
// holds mu.
func (t *Table) mergeQuarantine(a Announcement) *entry {
	if len(a.Parts) == 0 || len(a.Parts) > maxQuarantineParts || a.Revision <= 0 {
		return nil
	}
	keys := boundKeys(a.Parts)
	id := quarantineID(keys)
	e := t.entries[id]
	if e == nil {
		if !t.makeRoom(keys, time.Now()) {
			return nil
		}
		e = &entry{Quarantine: Quarantine{ID: id, Parts: keys}}
		t.add(e)
	}
	if a.Stored {
		e.storedRevision = max(e.storedRevision, a.Revision)
	}
	// Two instances that lift and begin a quarantine at the same time give it the same revision.
	if a.Revision < e.Revision || a.Revision == e.Revision && (a.Lifted == e.Lifted || !a.Lifted) {
		return nil
	}
	refused := e.Refused
	e.Quarantine = a.Quarantine
	e.ID, e.Parts, e.Refused = id, keys, refused
	e.Period = min(max(a.Period, firstPeriod), maxPeriod)
	if latest := time.Now().Add(e.Period); e.Until.After(latest) {
		e.Until = latest
	}
	if !e.Lifted {
		t.settle(e, time.Now())
	}
	t.Log.Info("quarantine_learned", append(e.logFields(), zap.Bool("lifted", e.Lifted))...)
	t.rebuildIndex()
	return e
}

// overrule takes parts that this instance knows to have been answered lately out of a quarantine of another instance that
// is based on too few crashes for them. It returns the changed quarantines. The caller holds mu.
func (t *Table) overrule(a Announcement) []*entry {
	var changed []*entry
	for _, key := range boundKeys(a.Parts) {
		if t.isProven(key) {
			changed = append(changed, t.markProven(key)...)
		}
	}
	if len(changed) > 0 {
		t.queueProven(boundKeys(a.Parts), t.isProven)
	}
	return changed
}

// Messages returns the update as messages to other instances, each of which fits in a datagram.
func (u *Update) Messages() []wire.News {
	var list []wire.News
	now := time.Now()
	for _, c := range u.Crashes {
		for parts := range slices.Chunk(c.Parts, partsPerMessage) {
			list = append(list, wire.News{Crashes: []wire.NewsCrash{{Server: c.Server, Pool: c.Pool, Parts: parts, AgeMs: int(now.Sub(c.At).Milliseconds())}}})
		}
	}
	for parts := range slices.Chunk(u.Sound, partsPerMessage) {
		list = append(list, wire.News{Sound: parts})
	}
	for parts := range slices.Chunk(u.Proven, partsPerMessage) {
		list = append(list, wire.News{Proven: parts})
	}
	for chunk := range slices.Chunk(u.Quarantines, entriesPerMessage) {
		var m wire.News
		for _, a := range chunk {
			m.Quarantine = append(m.Quarantine, wire.NewsQuarantine{
				Parts: a.Parts, Pool: a.Pool, Crashes: a.Crashes, Revision: a.Revision, Lifted: a.Lifted, Wrong: a.Wrong, Stored: a.Stored,
				LeftMs: int(a.Until.Sub(now).Milliseconds()), PeriodMs: int(a.Period.Milliseconds()),
			})
		}
		list = append(list, m)
	}
	return list
}

// ReadUpdate returns the update that a message of another instance holds.
func ReadUpdate(m wire.News) Update {
	u := Update{Sound: m.Sound, Proven: m.Proven}
	now := time.Now()
	for _, c := range m.Crashes {
		parts := slices.Clone(c.Parts)
		slices.Sort(parts)
		u.Crashes = append(u.Crashes, Crash{Server: c.Server, Pool: c.Pool, Parts: parts, At: now.Add(-milliseconds(max(c.AgeMs, 0)))})
	}
	for _, q := range m.Quarantine {
		u.Quarantines = append(u.Quarantines, Announcement{Stored: q.Stored, Quarantine: Quarantine{
			Parts: q.Parts, Pool: q.Pool, Crashes: q.Crashes, Revision: q.Revision, Lifted: q.Lifted, Wrong: q.Wrong, Until: now.Add(milliseconds(q.LeftMs)), Period: milliseconds(q.PeriodMs),
		}})
	}
	return u
}

// milliseconds returns the duration of n milliseconds.
func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
