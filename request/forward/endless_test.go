package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// smallestMemory is the memory of the smallest machine in bytes.
	smallestMemory = 88 << 20
	// restOfProcess is the part of it that an instance needs besides the heap of its responses.
	restOfProcess = 24 << 20
	// endlessBytes is what a server in trouble sends at most in these tests, per response. It stands for bytes without end.
	endlessBytes = 4 << 20
	// burstBytes is what it sends at once, and burstPause the time between two bursts, in which all of it is held.
	burstBytes = 256 << 10
	burstPause = 50 * time.Millisecond
)

// endlessResponse returns a handler that sends start and then the unit again and again, until its peer closes the
// connection.
func endlessResponse(start, unit string) http.HandlerFunc {
	block := []byte(strings.Repeat(unit, 1+(8<<10)/len(unit)))
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, strings.ReplaceAll(start, "ID", r.Header.Get("X-Id")))
		for sent := 0; err == nil && sent < endlessBytes; sent += len(block) {
			if sent%burstBytes+len(block) > burstBytes {
				time.Sleep(burstPause)
			}
			_, err = conn.Write(block)
		}
		_, _ = io.Copy(io.Discard, conn)
	}
}

// endlessResponses are responses without end of servers in trouble.
var endlessResponses = map[string]http.HandlerFunc{
	"one line":             endlessResponse("", "x"),
	"status line":          endlessResponse("HTTP/1.1 200 ", "x"),
	"header line":          endlessResponse("HTTP/1.1 200 OK\r\nX-Signed: ", "x"),
	"header lines":         endlessResponse("HTTP/1.1 200 OK\r\n", "X-Line: aaaaaaaaaaaaaaaa\r\n"),
	"interim responses":    endlessResponse("", "HTTP/1.1 102 Processing\r\n\r\n"),
	"interim head":         endlessResponse("HTTP/1.1 102 Processing\r\n", "X-Line: aaaaaaaaaaaaaaaa\r\n"),
	"chunk extension":      endlessResponse("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "x"),
	"trailer":              endlessResponse("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Line: aaaaaaaaaaaaaaaa\r\n"),
	"event without a line": endlessResponse("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: 1\r\nContent-Type: text/event-stream\r\n\r\n", "x"),
	"event of lines":       endlessResponse("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: 1\r\nContent-Type: text/event-stream\r\n\r\n", "data: aaaa\n"),
	"body of a refusal":    endlessResponse("HTTP/1.1 503 No\r\nX-Id: ID\r\nX-Not-Run: 1\r\n\r\n", "x"),
	"body":                 endlessResponse("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: 1\r\n\r\n", "x"),
	"body in chunks":       endlessResponse("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"),
}

// watchHeap samples the heap until the test ends and returns a function that reports its peak.
func watchHeap(t *testing.T) func() uint64 {
	t.Helper()
	limit := debug.SetMemoryLimit(smallestMemory)
	t.Cleanup(func() { debug.SetMemoryLimit(limit) })
	runtime.GC()
	var peak atomic.Uint64
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() {
		var stats runtime.MemStats
		for ctx.Err() == nil {
			runtime.ReadMemStats(&stats)
			peak.Store(max(peak.Load(), stats.HeapAlloc))
			time.Sleep(2 * time.Millisecond)
		}
	}()
	return peak.Load
}

// sendFromAll sends a request from each of the callers at a time, reads a part of each response and leaves. It returns the
// longest time until a head came.
func (f *fixture) sendFromAll(t *testing.T, callers int) time.Duration {
	t.Helper()
	times := make([]time.Duration, callers)
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			req := f.request(t, "POST", "/stream/", "b")
			req.Header.Set("X-Id", fmt.Sprint("r", n))
			start := time.Now()
			resp, err := http.DefaultClient.Do(req)
			if !assert.Check(t, err) {
				return
			}
			times[n] = time.Since(start)
			_, _ = io.CopyN(io.Discard, resp.Body, endlessBytes/4)
			_ = resp.Body.Close()
		})
	}
	wg.Wait()
	return slices.Max(times)
}

// Whatever a server sends without end, no request is held past its route's timeout, 2 s. The callers are few, so that the
// time is not that of a machine without processor time to spare.
func TestResponsesWithoutEndHoldNoRequest(t *testing.T) {
	for name, server := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			longest := newFixture(t, server).sendFromAll(t, 8)
			assert.Assert(t, longest < 2500*time.Millisecond, "%s", longest)
		})
	}
}

// Whatever a server sends without end, the heap stays within the smallest machine's memory.
func TestResponsesWithoutEndFitInMemory(t *testing.T) {
	for name, server := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, server)
			peak := watchHeap(t)
			f.sendFromAll(t, 100)
			t.Logf("peak of the heap: %.1f MB", float64(peak())/(1<<20))
			assert.Assert(t, peak() < smallestMemory-restOfProcess, "%d MB of heap", peak()>>20)
		})
	}
}

// A request that was refused is sent to another server, without waiting for the end of the refusal.
func TestRefusalWithoutEndIsNotAwaited(t *testing.T) {
	for name, framing := range map[string]string{"with its connection": "", "by its length": "Content-Length: 100\r\n", "in chunks": "Transfer-Encoding: chunked\r\n"} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 503 No\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Not-Run: 1\r\n"+framing+"\r\n4\r\nbusy\r\n")
				<-release
				_ = conn.Close()
			}, signedResponse(http.StatusOK, "second"))
			start := time.Now()
			status, body, _ := f.do(t, f.request(t, "POST", "/once/", "b"))
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, "second")
			assert.Assert(t, time.Since(start) < 500*time.Millisecond, "%s", time.Since(start))
		})
	}
}

// A server whose head has no end failed the attempt; the request may go to another one if it may be repeated.
func TestHeadWithoutEndFailsTheAttempt(t *testing.T) {
	for _, name := range []string{"one line", "header line", "header lines", "interim responses"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, endlessResponses[name], signedResponse(http.StatusOK, "second"))
			status, body, _ := f.do(t, f.request(t, "GET", "/repeat/", ""))
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, "second")
			f = newFixture(t, endlessResponses[name], signedResponse(http.StatusOK, "second"))
			status, body, _ = f.do(t, f.request(t, "POST", "/once/", "b"))
			assert.Equal(t, status, http.StatusBadGateway)
			assert.Assert(t, strings.Contains(body, `"not_run":false`), body)
		})
	}
}

// The connection to a server that sends without end is closed, so that the server stops.
func TestServerWithoutEndIsDisconnected(t *testing.T) {
	for name, server := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				server(w, r)
				close(closed)
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			resp, err := http.DefaultClient.Do(f.request(t, "POST", "/once/", "b").WithContext(ctx))
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			select {
			case <-closed:
			case <-time.After(4 * time.Second):
				t.Fatal("the server's connection is still open")
			}
		})
	}
}
