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

// logRequest writes the longest usual line, that of a request with a prompt.
func logRequest(log *zap.Logger) {
	log.Info("request",
		zap.String("request_id", "fa3bbccb3300013d"), zap.String("outcome", "served"), zap.Int("status", 200),
		zap.Duration("total", 1234567890), zap.String("route", "r-vyigubv"), zap.String("workspace", "nyti663"),
		zap.Int("rank", 5), zap.Int("config", 2), zap.Int("sends", 1), zap.String("server", "i-a317b1ec53"), zap.Int("servers", 21),
		zap.Int("cost", 54690), zap.Int("running", 34), zap.Int("unread", 40422), zap.Bool("owner", false),
		zap.String("fetched", "10.1.64.33:8384"), zap.Int("prompt", 12908), zap.Int("shared", 3764),
		zap.Duration("first", 234567890), zap.Duration("gap", 34567890))
}

func BenchmarkRequestLine(b *testing.B) {
	log, err := newLog("info", newOutput(io.Discard))
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		logRequest(log)
	}
}

const (
	// peakLines is the number of lines a second of the busiest instance at twice the usual load of a grown deployment.
	peakLines = 300
	// leastShare is the part of a core that the smallest machine has, and logShare the part of that which logs may take.
	leastShare = 0.192
	logShare   = 0.05
)

// The lines of the busiest second cost less than their part of the smallest machine's processor.
func TestLinesAreCheap(t *testing.T) {
	log, err := newLog("info", zapcore.AddSync(io.Discard))
	assert.NilError(t, err)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	best := time.Hour
	for range 5 {
		began := processorTime(t)
		for range peakLines {
			logRequest(log)
		}
		best = min(best, processorTime(t)-began)
	}
	assert.Assert(t, best.Seconds() < logShare*leastShare, "%s", best)
}

// processorTime returns the processor time that this thread has used, which other processes don't change.
func processorTime(t *testing.T) time.Duration {
	var use unix.Rusage
	assert.NilError(t, unix.Getrusage(unix.RUSAGE_THREAD, &use))
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}
