package caller

import "time"

// workerIdle is the time after which an idle worker goroutine ends.
const workerIdle = 10 * time.Second

// workerPool is a pool of goroutines without a queue: each job starts at once, in an idle worker or else in a new one.
// Idle workers keep their grown stacks; a new goroutine would have to grow its stack for each request. The number of
// connections bounds the number of jobs.
type workerPool struct {
	jobs chan func()
	done chan struct{}
}

func newWorkerPool() *workerPool {
	return &workerPool{jobs: make(chan func()), done: make(chan struct{})}
}

// run starts a job and returns without waiting for it.
func (w *workerPool) run(job func()) {
	select {
	case w.jobs <- job:
	default:
		go w.runJobs(job)
	}
}

// stop ends the idle workers. Workers with a running job end after it.
func (w *workerPool) stop() { close(w.done) }

func (w *workerPool) runJobs(job func()) {
	idleTimer := time.NewTimer(workerIdle)
	defer idleTimer.Stop()
	for {
		job()
		idleTimer.Reset(workerIdle)
		select {
		case job = <-w.jobs:
		case <-w.done:
			return
		case <-idleTimer.C:
			return
		}
	}
}
