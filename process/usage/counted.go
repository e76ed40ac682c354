package usage

import (
	"sort"

	"github.com/toucanroute/toucanroute/wire"
)

// countedBatches holds the sequence numbers of the batches of each run that are counted in seals.
type countedBatches struct {
	// byRun holds the counted sequence numbers of each run: all up to Through, and those above it that Beyond lists.
	byRun map[string]*wire.CountedRun
}

// newCountedBatches returns the counted batches that a seal lists.
func newCountedBatches(runs []wire.CountedRun) *countedBatches {
	t := &countedBatches{byRun: make(map[string]*wire.CountedRun, len(runs))}
	for _, r := range runs {
		r.Beyond = append([]int(nil), r.Beyond...)
		t.byRun[r.Run] = &r
	}
	return t
}

// has reports whether the batch of a run with the sequence number seq is counted.
func (t *countedBatches) has(run string, seq int) bool {
	r := t.byRun[run]
	if r == nil {
		return false
	}
	if seq <= r.Through {
		return true
	}
	i := sort.SearchInts(r.Beyond, seq)
	return i < len(r.Beyond) && r.Beyond[i] == seq
}

// hasAll reports whether all batches are counted.
func (t *countedBatches) hasAll(counts []wire.UsageCount) bool {
	for _, c := range counts {
		if !t.has(c.Run, c.Seq) {
			return false
		}
	}
	return true
}

// add marks a batch as counted in the window that starts at windowMs, in Unix milliseconds, and reports whether it was
// not counted before.
func (t *countedBatches) add(c wire.UsageCount, windowMs int) bool {
	if t.has(c.Run, c.Seq) {
		return false
	}
	r := t.byRun[c.Run]
	if r == nil {
		r = &wire.CountedRun{Run: c.Run}
		t.byRun[c.Run] = r
	}
	i := sort.SearchInts(r.Beyond, c.Seq)
	r.Beyond = append(r.Beyond, 0)
	copy(r.Beyond[i+1:], r.Beyond[i:])
	r.Beyond[i] = c.Seq
	for len(r.Beyond) > 0 && r.Beyond[0] == r.Through+1 {
		r.Through++
		r.Beyond = r.Beyond[1:]
	}
	r.LastMs = windowMs
	return true
}

// runs returns the counted runs sorted by ID, for the seal of the window that starts at windowMs. It leaves out the
// runs whose last count is so old that any further batch of them would be too late to be accepted.
func (t *countedBatches) runs(windowMs int) []wire.CountedRun {
	list := make([]wire.CountedRun, 0, len(t.byRun))
	for _, r := range t.byRun {
		if windowMs-r.LastMs <= 2*int(MaxCountAge.Milliseconds()) {
			list = append(list, *r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Run < list[j].Run })
	return list
}
