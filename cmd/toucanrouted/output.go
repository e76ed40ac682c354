package main

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxPendingLines is the number of log lines that may wait while the output blocks; further lines are dropped and
	// counted.
	maxPendingLines = 4096
	// flushTimeout limits the wait for pending lines when the process ends.
	flushTimeout = 500 * time.Millisecond
)

var droppedLines = metrics.NewCounter("toucanroute_log_lines_left_out_total")

// asyncWriter writes log lines in the background so that logging never blocks the caller.
type asyncWriter struct {
	lines   chan []byte
	pending atomic.Int64
}

// newAsyncWriter returns an asyncWriter that writes to w.
func newAsyncWriter(w io.Writer) *asyncWriter {
	a := &asyncWriter{lines: make(chan []byte, maxPendingLines)}
	go func() {
		for line := range a.lines {
			// If the reader of the log is gone, there is no place left to report the error.
			_, _ = w.Write(line)
			a.pending.Add(-1)
		}
	}()
	return a
}

// Write queues a line, or drops it if too many lines are pending. It never returns an error.
func (a *asyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	a.pending.Add(1)
	select {
	case a.lines <- line:
	default:
		a.pending.Add(-1)
		droppedLines.Inc()
	}
	return len(p), nil
}

// Sync waits until all pending lines are written, but at most flushTimeout.
func (a *asyncWriter) Sync() error {
	for deadline := time.Now().Add(flushTimeout); a.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return nil
}
