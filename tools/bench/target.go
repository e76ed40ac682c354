package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/toucanroute/toucanroute/tools/launch"
)

// idleConnections is the number of idle connections kept to a target.
const idleConnections = 4096

// firstData begins the line of a stream that brings the first token.
var firstData = []byte("data: ")

// target is where requests go: an instance with a key, or an engine without.
type target struct {
	address string
	key     string

	once   sync.Once
	client *http.Client
	// times to first token of timeOne.
	times []time.Duration
}

func (t *target) request(ctx context.Context, tokens int) (*http.Response, error) {
	t.once.Do(func() {
		t.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	})
	body := fmt.Sprintf(`{"model":"assistant","stream":true,"standin_tokens":%d,"messages":[{"role":"user","content":"ping"}]}`, tokens)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	if t.key != "" {
		r.Header.Set("Authorization", "Bearer "+t.key)
	}
	resp, err := t.client.Do(r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	text, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return nil, launch.ErrStatus{URL: t.address, Status: resp.StatusCode, Body: string(text)}
}

// timeOne sends one small request and notes its time to first token.
func (t *target) timeOne(ctx context.Context) error {
	start := time.Now()
	resp, err := t.request(ctx, smallTokens)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return err
		}
		if bytes.HasPrefix(line, firstData) {
			t.times = append(t.times, time.Since(start))
			_, err := io.Copy(io.Discard, lines)
			return err
		}
	}
}

// quantile returns a percentile of the noted times.
func (t *target) quantile(percent float64) time.Duration {
	sorted := slices.Sorted(slices.Values(t.times))
	return sorted[min(len(sorted)-1, int(percent/100*float64(len(sorted))))]
}

// flood sends small requests with so many workers and returns the answers a second and the number of failures.
func (t *target) flood(ctx context.Context, workers int, length time.Duration) (perSecond float64, failed int64) {
	var ok, bad atomic.Int64
	start := time.Now()
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for time.Since(start) < length && ctx.Err() == nil {
				resp, err := t.request(ctx, smallTokens)
				if err != nil {
					bad.Add(1)
					continue
				}
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if err != nil {
					bad.Add(1)
					continue
				}
				ok.Add(1)
			}
		})
	}
	group.Wait()
	return float64(ok.Load()) / time.Since(start).Seconds(), bad.Load()
}

// openStreams opens n streams, which end with ctx, and returns how many are open after the settling time.
func (t *target) openStreams(ctx context.Context, n int, settle time.Duration) int64 {
	var open atomic.Int64
	for range n {
		go func() {
			resp, err := t.request(ctx, streamTokens)
			if err != nil {
				return
			}
			open.Add(1)
			_, _ = io.Copy(io.Discard, resp.Body)
			open.Add(-1)
			_ = resp.Body.Close()
		}()
	}
	deadline := time.Now().Add(3 * settle)
	for open.Load() < int64(n) && time.Now().Before(deadline) {
		time.Sleep(settle / 30)
	}
	time.Sleep(settle)
	return open.Load()
}

// residentKB returns the resident memory of a process.
func residentKB(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	return 0, fmt.Errorf("no VmRSS of process %d", pid)
}
