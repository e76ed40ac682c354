package caller

import "time"

// workerIdle is the time after which a worker without a job ends.
const workerIdle = 10 * time.Second

// workers runs jobs, each at once: by an idle worker, or else by a new one. Idle workers keep their stacks, which
// a new goroutine would have to grow for each request. The number of jobs is bounded by that of the connections.
type workers struct {
	jobs chan func()
	done chan struct{}
}

func newWorkers() *workers {
	return &workers{jobs: make(chan func()), done: make(chan struct{})}
}

// run runs a job without waiting for it.
func (w *workers) run(job func()) {
	select {
	case w.jobs <- job:
	default:
		go w.work(job)
	}
}

// stop ends the idle workers; running jobs end by themselves.
func (w *workers) stop() { close(w.done) }

func (w *workers) work(job func()) {
	t := time.NewTimer(workerIdle)
	defer t.Stop()
	for {
		job()
		t.Reset(workerIdle)
		select {
		case job = <-w.jobs:
		case <-w.done:
			return
		case <-t.C:
			return
		}
	}
}
