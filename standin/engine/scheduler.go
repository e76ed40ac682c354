package engine

import (
	"container/heap"
	"context"
	"sync"
)

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	seq      int
	index    int
	granted  chan struct{}
}

// waiters is a heap by priority, the lower number first, then by arrival.
type waiters []*waiter

func (q waiters) Len() int { return len(q) }

func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].seq < q[j].seq
}

func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

// scheduler hands out the slots of an engine's batch.
type scheduler struct {
	slots int

	mu      sync.Mutex
	running int
	seq     int
	queue   waiters
}

func newScheduler(slots int) *scheduler {
	return &scheduler{slots: slots}
}

// stops are the channels that close when a stream is to stop.
type stops struct {
	crash  <-chan struct{}
	cancel <-chan struct{}
	pause  <-chan struct{}
}

// acquire waits for a slot and tells whether it got one before ctx ended or a channel of stops closed.
func (s *scheduler) acquire(ctx context.Context, stops stops, priority int) bool {
	s.mu.Lock()
	if s.running < s.slots {
		s.running++
		s.mu.Unlock()
		return true
	}
	s.seq++
	w := &waiter{priority: priority, seq: s.seq, granted: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	case <-stops.crash:
	case <-stops.cancel:
	case <-stops.pause:
	}
	s.leave(w)
	return false
}

// leave takes w out of the queue, or returns the slot that it was given meanwhile.
func (s *scheduler) leave(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.queue, w.index)
		return
	}
	s.next()
}

func (s *scheduler) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next()
}

// next gives a returned slot to the first waiter.
func (s *scheduler) next() {
	if len(s.queue) == 0 {
		s.running--
		return
	}
	close(heap.Pop(&s.queue).(*waiter).granted)
}

func (s *scheduler) load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue)
}

// fill returns the share of slots taken beside the first, 0 to 1.
func (s *scheduler) fill() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running <= 1 || s.slots <= 1 {
		return 0
	}
	return float64(s.running-1) / float64(s.slots-1)
}
