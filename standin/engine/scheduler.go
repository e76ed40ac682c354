package engine

import (
	"container/heap"
	"context"
	"sync"
)

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	// arrivalNumber is the position in the order of arrival of all requests that had to wait.
	arrivalNumber int
	// heapIndex is the position in the heap; -1 if the request isn't waiting any more.
	heapIndex int
	// granted is closed when the request gets a slot.
	granted chan struct{}
}

// waiters is a heap of waiting requests: the lowest priority number first, and among equal ones in order of arrival.
type waiters []*waiter

func (q waiters) Len() int { return len(q) }

func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrivalNumber < q[j].arrivalNumber
}

func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex = i
	q[j].heapIndex = j
}

func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*q)
	*q = append(*q, w)
}

func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	w.heapIndex = -1
	return w
}

// slotScheduler assigns the slots of the engine's batch to requests by priority.
type slotScheduler struct {
	slots int

	mu         sync.Mutex
	slotsInUse int
	// arrivalNumber is that of the last request that had to wait.
	arrivalNumber int
	queue         waiters
}

func newSlotScheduler(slots int) *slotScheduler {
	return &slotScheduler{slots: slots}
}

// signals holds the channels of a stream that are closed to stop it.
type signals struct {
	crash  <-chan struct{}
	cancel <-chan struct{}
	pause  <-chan struct{}
}

// acquire waits for a slot. It returns false if ctx ended or one of the signals was closed before it got a slot.
func (s *slotScheduler) acquire(ctx context.Context, signals signals, priority int) bool {
	s.mu.Lock()
	if s.slotsInUse < s.slots {
		s.slotsInUse++
		s.mu.Unlock()
		return true
	}
	s.arrivalNumber++
	w := &waiter{priority: priority, arrivalNumber: s.arrivalNumber, granted: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	case <-signals.crash:
	case <-signals.cancel:
	case <-signals.pause:
	}
	s.abandon(w)
	return false
}

// abandon removes w from the queue, or returns its slot if w has got one in the meantime.
func (s *slotScheduler) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.heapIndex >= 0 {
		heap.Remove(&s.queue, w.heapIndex)
		return
	}
	s.releaseLocked()
}

func (s *slotScheduler) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

// releaseLocked assigns a slot that isn't needed any more to the first waiter, or marks it as free if nobody waits. The
// caller must hold mu.
func (s *slotScheduler) releaseLocked() {
	if len(s.queue) == 0 {
		s.slotsInUse--
		return
	}
	close(heap.Pop(&s.queue).(*waiter).granted)
}

// load returns the numbers of slots in use and of waiting requests.
func (s *slotScheduler) load() (slotsInUse, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slotsInUse, len(s.queue)
}

// occupancy returns how far the slots are in use, from 0 with at most one running stream to 1 with all slots in use.
func (s *slotScheduler) occupancy() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slotsInUse <= 1 || s.slots <= 1 {
		return 0
	}
	return float64(s.slotsInUse-1) / float64(s.slots-1)
}
