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

// repetitions is the number of times that each figure is measured; the median is used.
const repetitions = 3

// countingRelay forwards TCP connections to a target address and counts the bytes of both directions.
type countingRelay struct {
	target   string
	listener net.Listener
	bytes    atomic.Int64
}

// newCountingRelay returns a relay that listens on loopback until ctx ends.
func newCountingRelay(ctx context.Context, target string) (*countingRelay, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &countingRelay{target: target, listener: listener}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go r.accept(ctx)
	return r, nil
}

func (r *countingRelay) address() string { return r.listener.Addr().String() }

func (r *countingRelay) accept(ctx context.Context) {
	for {
		from, err := r.listener.Accept()
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

func (r *countingRelay) copy(to, from net.Conn) {
	_, _ = io.Copy(countingWriter{to, &r.bytes}, from)
	_ = to.Close()
	_ = from.Close()
}

// countingWriter passes writes on and adds the number of written bytes to n.
type countingWriter struct {
	io.Writer
	n *atomic.Int64
}

func (c countingWriter) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// settledBytes returns the byte count once it has not grown for 20 ms.
func (r *countingRelay) settledBytes() float64 {
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

// cpuTime returns the processor time of all threads of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuSecondsPerCall calls f n times per repetition and returns the median processor time of one call, in seconds.
func cpuSecondsPerCall(n int, f func(i int)) float64 {
	var values []float64
	for range repetitions {
		start := cpuTime()
		for i := range n {
			f(i)
		}
		values = append(values, (cpuTime()-start).Seconds()/float64(n))
	}
	return median(values)
}

// heapUsedBy returns the bytes by which build grows heap and stacks while its result is kept, and the result.
func heapUsedBy[T any](build func() T) (float64, T) {
	before := memoryInUse()
	v := build()
	after := memoryInUse()
	return max(0, after-before), v
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// loadAverage returns the load averages over 1, 5 and 15 minutes, or "unknown".
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}
