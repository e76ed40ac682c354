package main

import (
	"context"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// repeats is the number of times that each figure is measured; the median counts.
const repeats = 3

// relay forwards connections to a target and counts their bytes, both ways.
type relay struct {
	target string
	ln     net.Listener
	bytes  atomic.Int64
}

// newRelay listens on loopback until ctx ends.
func newRelay(ctx context.Context, target string) (*relay, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{target: target, ln: ln}
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	go r.accept(ctx)
	return r, nil
}

func (r *relay) address() string { return r.ln.Addr().String() }

func (r *relay) accept(ctx context.Context) {
	for {
		from, err := r.ln.Accept()
		if err != nil {
			return
		}
		var d net.Dialer
		to, err := d.DialContext(ctx, "tcp", r.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		go r.copy(to, from)
		go r.copy(from, to)
	}
}

func (r *relay) copy(to, from net.Conn) {
	_, _ = io.Copy(counted{to, &r.bytes}, from)
	_ = to.Close()
	_ = from.Close()
}

// counted counts the bytes that are written.
type counted struct {
	io.Writer
	n *atomic.Int64
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// settled returns the counted bytes once they have stopped growing.
func (r *relay) settled() float64 {
	last := r.bytes.Load()
	for {
		time.Sleep(20 * time.Millisecond)
		now := r.bytes.Load()
		if now == last {
			return float64(now)
		}
		last = now
	}
}

// cpuTime returns the processor time of this process, all threads.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuPer returns the median processor time of one of n turns of f, in seconds.
func cpuPer(n int, f func(i int)) float64 {
	var values []float64
	for range repeats {
		start := cpuTime()
		for i := range n {
			f(i)
		}
		values = append(values, (cpuTime()-start).Seconds()/float64(n))
	}
	return median(values)
}

// heapOf returns what build leaves on the heap and on the stacks, in bytes, while its result is kept.
func heapOf[T any](build func() T) (float64, T) {
	before := inUse()
	v := build()
	after := inUse()
	return max(0, after-before), v
}

func inUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// loadAverage returns the load average over 1, 5 and 15 minutes, or "unknown".
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}
