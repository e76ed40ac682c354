// Package intake simulates the platform's usage intake for tests: the API that receives the usage reports of the
// instances. A report holds the usage of one data centre in one window, which is a fixed interval of time. The stand-in
// counts repeated reports of a window, reports that differ from the first one of their window, and reports with a lower
// fencing token than an earlier one.
package intake

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/standin/web"
	"github.com/toucanroute/toucanroute/wire"
)

// windowKey identifies a usage window of a data centre by its start, a Unix time in milliseconds.
type windowKey struct {
	dataCentre string
	startMs    int
}

// WindowStats summarizes the reports of one usage window of a data centre.
type WindowStats struct {
	DataCentre    string `json:"data_centre"`
	WindowStartMs int    `json:"window_start_ms"`
	Reports       int    `json:"reports"`
	// Differing counts the reports whose lines differ from those of the first report.
	Differing int `json:"differing"`
	// Reporters are the instances that reported the window, in order of their first report.
	Reporters []string `json:"reporters"`
	// Fence is the fencing token of the first report.
	Fence int `json:"fence"`
	// LateMs is the time between the window's end and the first report, in milliseconds.
	LateMs int `json:"late_ms"`
	// Lines are the lines of the first report, sorted by workspace and class.
	Lines []wire.UsageLine `json:"lines"`
}

// Stats is the response to GET /admin/stats.
type Stats struct {
	Reports int `json:"reports"`
	// Duplicates counts the further reports of a window with the same lines as its first report.
	Duplicates int `json:"duplicates"`
	// Differing counts the further reports of a window with other lines than its first report.
	Differing int `json:"differing"`
	// OldFences counts the reports whose fencing token is lower than the highest one received before from the same data
	// centre. Each takeover of the lease increments the token, so such a report was sent under a lease that has since
	// been taken over.
	OldFences int `json:"old_fences"`
	// SeveralReporters is the number of windows that were reported by more than one instance.
	SeveralReporters int `json:"several_reporters"`
	// Requests, PromptTokens and CompletionTokens are sums over the first report of each window.
	Requests         int           `json:"requests"`
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	Reporters        []string      `json:"reporters"`
	Windows          []WindowStats `json:"windows"`
}

// Server is one simulated usage intake. Its exported fields are set before Run or Handler is called.
type Server struct {
	// Address is the IP address and port on which Run listens.
	Address string
	// OnListen, if set, is called with the bound address.
	OnListen func(address string)

	faults web.Faults[web.PlatformFaults]

	mu      sync.Mutex
	stats   Stats
	windows map[windowKey]*WindowStats
	// highestFences holds the highest fencing token of each data centre.
	highestFences map[string]int
}

// Run serves requests until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return web.Serve(ctx, s.Address, s.Handler(), s.OnListen)
}

// Handler returns the handler of the usage intake and of the stand-in's /admin endpoints.
func (s *Server) Handler() http.Handler {
	s.windows = map[windowKey]*WindowStats{}
	s.highestFences = map[string]int{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/reports", web.WithFaults(&s.faults, s.report))
	mux.Handle("/admin/faults", &s.faults)
	mux.HandleFunc("GET /admin/stats", s.handleStats)
	return mux
}

func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	var report wire.UsageReport
	if err := web.ReadJSON(r, &report); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.record(report)
	if s.faults.Consume(func(f *web.PlatformFaults) bool { return f.ConsumeLostAnswer("") }) {
		web.AbortConnection()
	}
	web.WriteJSON(w, http.StatusOK, report)
}

// record adds a report to the statistics and compares it with the earlier reports of its window.
func (s *Server) record(report wire.UsageReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reports++
	if report.Fence < s.highestFences[report.DataCentre] {
		s.stats.OldFences++
	}
	s.highestFences[report.DataCentre] = max(s.highestFences[report.DataCentre], report.Fence)
	if !slices.Contains(s.stats.Reporters, report.Reporter) {
		s.stats.Reporters = append(s.stats.Reporters, report.Reporter)
	}
	key := windowKey{report.DataCentre, report.WindowStartMs}
	lines := sortedLines(report.Lines)
	stats := s.windows[key]
	if stats == nil {
		s.windows[key] = newWindowStats(report, lines)
		s.addToTotals(lines)
		return
	}
	stats.Reports++
	s.addRepeat(stats, report, lines)
}

// addRepeat adds a further report of a window to the statistics.
func (s *Server) addRepeat(stats *WindowStats, report wire.UsageReport, lines []wire.UsageLine) {
	if slices.Equal(stats.Lines, lines) {
		s.stats.Duplicates++
	} else {
		s.stats.Differing++
		stats.Differing++
	}
	if slices.Contains(stats.Reporters, report.Reporter) {
		return
	}
	stats.Reporters = append(stats.Reporters, report.Reporter)
	if len(stats.Reporters) == 2 {
		s.stats.SeveralReporters++
	}
}

// addToTotals adds the lines of a window's first report to the sums over all windows.
func (s *Server) addToTotals(lines []wire.UsageLine) {
	for _, line := range lines {
		s.stats.Requests += line.Requests
		s.stats.PromptTokens += line.PromptTokens
		s.stats.CompletionTokens += line.CompletionTokens
	}
}

func newWindowStats(report wire.UsageReport, lines []wire.UsageLine) *WindowStats {
	return &WindowStats{
		DataCentre:    report.DataCentre,
		WindowStartMs: report.WindowStartMs,
		Reports:       1,
		Reporters:     []string{report.Reporter},
		Fence:         report.Fence,
		LateMs:        int(time.Now().UnixMilli()) - report.WindowStartMs - report.WindowMs,
		Lines:         lines,
	}
}

// sortedLines returns a copy of the lines sorted by workspace and class, so that reports with the same lines in another
// order are equal.
func sortedLines(lines []wire.UsageLine) []wire.UsageLine {
	lines = slices.Clone(lines)
	slices.SortFunc(lines, func(a, b wire.UsageLine) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
	return lines
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Windows = []WindowStats{}
	for _, window := range s.windows {
		stats.Windows = append(stats.Windows, *window)
	}
	slices.SortFunc(stats.Windows, func(a, b WindowStats) int {
		return cmp.Or(cmp.Compare(a.WindowStartMs, b.WindowStartMs), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	web.WriteJSON(w, http.StatusOK, stats)
}
