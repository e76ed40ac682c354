package main

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// outputLines is the number of log lines that wait for a slow reader; further ones are left out and counted.
	outputLines = 4096
	// flushTimeout bounds the wait for the lines that are left when the process ends.
	flushTimeout = 500 * time.Millisecond
)

var linesLeftOut = metrics.NewCounter("toucanroute_log_lines_left_out_total")

// output writes log lines without ever holding up the caller.
type output struct {
	lines   chan []byte
	pending atomic.Int64
}

// newOutput starts to write what it gets to w.
func newOutput(w io.Writer) *output {
	o := &output{lines: make(chan []byte, outputLines)}
	go func() {
		for line := range o.lines {
			// A reader that is gone can't be told so in its own log.
			_, _ = w.Write(line)
			o.pending.Add(-1)
		}
	}()
	return o
}

// Write hands a line over, or leaves it out where too many wait.
func (o *output) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	o.pending.Add(1)
	select {
	case o.lines <- line:
	default:
		o.pending.Add(-1)
		linesLeftOut.Inc()
	}
	return len(p), nil
}

// Sync waits until the lines are written, but not for long.
func (o *output) Sync() error {
	for end := time.Now().Add(flushTimeout); o.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return nil
}
