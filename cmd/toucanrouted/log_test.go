//go:build !race

package main

import (
	"io"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// logRequest writes the longest line of normal operation: that of a served request with a prompt.
func logRequest(log *zap.Logger) {
	log.Info("request",
		zap.String("request_id", "fa3bbccb3300013d"), zap.String("outcome", "served"), zap.Int("status", 200),
		zap.Duration("total", 1234567890), zap.String("route", "r-vyigubv"), zap.String("workspace", "nyti663"),
		zap.Int("rank", 5), zap.Int("config", 2), zap.Int("sends", 1), zap.String("server", "i-a317b1ec53"), zap.Int("servers", 21),
		zap.Int("cost", 54690), zap.Int("running", 34), zap.Int("unread", 40422), zap.Bool("owner", false), zap.String("framing", "chunked"),
		zap.String("fetched", "10.1.64.33:8384"), zap.Int("prompt", 12908), zap.Int("shared", 3764),
		zap.Duration("first", 234567890), zap.Duration("gap", 34567890))
}

func BenchmarkRequestLine(b *testing.B) {
	log, err := newLog("info", newAsyncWriter(io.Discard))
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		logRequest(log)
	}
}

const (
	// peakLinesPerSecond is the number of log lines per second that the busiest instance writes at twice the usual load
	// of a grown deployment.
	peakLinesPerSecond = 300
	// smallestCoreShare is the share of a processor core that the smallest machine has. Logging may use maxLoggingShare
	// of that share.
	smallestCoreShare = 0.192
	maxLoggingShare   = 0.05
)

// TestLinesAreCheap checks that the log lines of the busiest second take less processor time than maxLoggingShare
// allows on the smallest machine.
func TestLinesAreCheap(t *testing.T) {
	log, err := newLog("info", zapcore.AddSync(io.Discard))
	assert.NilError(t, err)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	fastest := time.Hour
	for range 5 {
		start := cpuTime(t)
		for range peakLinesPerSecond {
			logRequest(log)
		}
		fastest = min(fastest, cpuTime(t)-start)
	}
	assert.Assert(t, fastest.Seconds() < maxLoggingShare*smallestCoreShare, "%s", fastest)
}

// cpuTime returns the processor time that this thread has used. Unlike elapsed time, it doesn't depend on the load by
// other processes.
func cpuTime(t *testing.T) time.Duration {
	var usage unix.Rusage
	assert.NilError(t, unix.Getrusage(unix.RUSAGE_THREAD, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
