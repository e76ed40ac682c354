// Package memory shares out the memory that an instance holds for its callers and backend servers.
package memory

import "sync"

// Use is what memory is taken for: the part of a budget, from 0 to 1, beyond which nothing more is granted for it. What
// can be refused or can wait leaves room for what can't.
type Use float64

const (
	// Running is the use of requests that were sent to a backend server. They get whatever there is: giving one of them
	// up would waste what the server has done.
	Running Use = 1
	// Held is the use of responses that slow callers haven't accepted yet, granted from a HeldPart. As the most urgent new
	// requests, they leave a tenth to running ones; without a grant the response waits at the backend server.
	Held Use = 0.9
)

const (
	// leastUrgent is the use of new requests of the lowest priority, and urgentExtra what those of the highest get beyond
	// it: new requests leave a tenth to running ones, and less urgent ones leave room to more urgent ones.
	leastUrgent = 0.75
	urgentExtra = 0.15
)

// NewRequest returns the use of a new request of a rank; 0 is the most urgent.
func NewRequest(rank int) Use { return leastUrgent + Use(urgentExtra)/Use(1+max(rank, 0)) }

// Budget grants memory before it is taken. What is granted must be returned. It is safe for concurrent use.
//
// It handles many callers or backend servers that read slowly, and bursts of large requests: the newest and least urgent
// requests find no room, while running ones go on.
type Budget struct {
	// OnOverReturned is called when bytes without a grant are returned for the first time; it may be nil.
	OnOverReturned func(n int64)

	size int64
	// whole is the budget of which this one is a part; nil if there is none. What is taken here is taken there too.
	whole *Budget

	mu sync.Mutex
	// taken is at least 0 and at most size; peak is the most that was taken at a time.
	taken, peak int64
	// refused counts the grants that were refused, and overReturned the bytes that were returned without a grant.
	refused, overReturned int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(size int64) *Budget { return &Budget{size: size} }

// NewPart returns a budget of a number of bytes that is a part of this one.
func (b *Budget) NewPart(size int64) *Budget {
	return &Budget{OnOverReturned: b.OnOverReturned, size: size, whole: b}
}

// heldPart is the part of a budget that is there for held responses; the other half is left to requests.
const heldPart = 0.5

// HeldPart returns a part of the budget for held responses. What requests take counts only against the whole, so that
// responses are held also beside many running requests.
func (b *Budget) HeldPart() *Budget { return b.NewPart(int64(heldPart * float64(b.size))) }

// Size returns the size in bytes.
func (b *Budget) Size() int64 { return b.size }

// TryTake grants n bytes for a use and reports whether there was room for them.
func (b *Budget) TryTake(n int64, use Use) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(b.taken+n) > float64(use)*float64(b.size) || b.whole != nil && !b.whole.TryTake(n, use) {
		b.refused++
		return false
	}
	b.taken += n
	b.peak = max(b.peak, b.taken)
	return true
}

// Return gives back n granted bytes. More than was granted counts in Stats.OverReturned and frees nothing, since it runs
// where a panic would end the process with the responses of all callers.
func (b *Budget) Return(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.taken {
		if b.overReturned == 0 && b.OnOverReturned != nil {
			b.OnOverReturned(n - b.taken)
		}
		b.overReturned += n - b.taken
		n = b.taken
	}
	b.taken -= n
	if b.whole != nil {
		b.whole.Return(n)
	}
}

// Stats describes a budget.
type Stats struct {
	// Size, Taken and Peak are the size, what is granted now and the most that was granted at a time, in bytes.
	Size, Taken, Peak int64
	// Refused is the number of grants that were refused.
	Refused int64
	// OverReturned is the number of bytes that were returned without a grant; it is a fault if it isn't 0.
	OverReturned int64
}

// Stats returns the current figures.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Size: b.size, Taken: b.taken, Peak: b.peak, Refused: b.refused, OverReturned: b.overReturned}
}
