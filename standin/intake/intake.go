// Package intake stands in for the platform's usage intake. It records repeated, differing and out-of-order reports.
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

// window names a usage window of a data centre.
type window struct {
	dataCentre string
	startMs    int
}

// WindowStats tells what was reported for one window.
type WindowStats struct {
	DataCentre    string `json:"data_centre"`
	WindowStartMs int    `json:"window_start_ms"`
	Reports       int    `json:"reports"`
	// Differing counts the reports whose figures differ from the first.
	Differing int `json:"differing"`
	// Reporters in order of their first report.
	Reporters []string `json:"reporters"`
	// Fence of the first report.
	Fence int `json:"fence"`
	// LateMs is the time from the window's end to the first report.
	LateMs int `json:"late_ms"`
	// Lines of the first report.
	Lines []wire.UsageLine `json:"lines"`
}

// Stats are the figures of GET /admin/stats.
type Stats struct {
	Reports int `json:"reports"`
	// Duplicates counts the repeats with the same figures.
	Duplicates int `json:"duplicates"`
	// Differing counts the repeats with other figures.
	Differing int `json:"differing"`
	// OldFences counts the reports with a fencing number below one seen before from the data centre.
	OldFences int `json:"old_fences"`
	// SeveralReporters is the number of windows that more than one instance reported.
	SeveralReporters int `json:"several_reporters"`
	// Requests and CompletionTokens are sums over the first report of each window.
	Requests         int           `json:"requests"`
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	Reporters        []string      `json:"reporters"`
	Windows          []WindowStats `json:"windows"`
}

// Server is one usage intake. Its exported fields are set before Run or Handler.
type Server struct {
	// Address is the IP number and port that Run listens on.
	Address string
	// Ready, if set, gets the bound address.
	Ready func(address string)

	faults web.Faults[web.PlatformFaults]

	mu      sync.Mutex
	stats   Stats
	windows map[window]*WindowStats
	// fences holds the highest fencing number by data centre.
	fences map[string]int
}

// Run answers until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return web.Serve(ctx, s.Address, s.Handler(), s.Ready)
}

// Handler returns the intake with the stand-in's own interface.
func (s *Server) Handler() http.Handler {
	s.windows = map[window]*WindowStats{}
	s.fences = map[string]int{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/reports", web.Guard(&s.faults, s.report))
	mux.Handle("/admin/faults", &s.faults)
	mux.HandleFunc("GET /admin/stats", s.answerStats)
	return mux
}

func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	var report wire.UsageReport
	if err := web.Read(r, &report); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.record(report)
	if s.faults.Take(func(f *web.PlatformFaults) bool { return f.TakeLost("") }) {
		web.Drop()
	}
	web.Write(w, http.StatusOK, report)
}

// record counts a report against those before it.
func (s *Server) record(report wire.UsageReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reports++
	if report.Fence < s.fences[report.DataCentre] {
		s.stats.OldFences++
	}
	s.fences[report.DataCentre] = max(s.fences[report.DataCentre], report.Fence)
	if !slices.Contains(s.stats.Reporters, report.Reporter) {
		s.stats.Reporters = append(s.stats.Reporters, report.Reporter)
	}
	key := window{report.DataCentre, report.WindowStartMs}
	lines := sorted(report.Lines)
	stats := s.windows[key]
	if stats == nil {
		s.windows[key] = newWindowStats(report, lines)
		s.add(lines)
		return
	}
	stats.Reports++
	s.compare(stats, report, lines)
}

// compare counts a further report of a window.
func (s *Server) compare(stats *WindowStats, report wire.UsageReport, lines []wire.UsageLine) {
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

// add adds the figures of a window's first report to the sums.
func (s *Server) add(lines []wire.UsageLine) {
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

// sorted returns the lines by workspace and class, so that their order does not count.
func sorted(lines []wire.UsageLine) []wire.UsageLine {
	lines = slices.Clone(lines)
	slices.SortFunc(lines, func(a, b wire.UsageLine) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
	return lines
}

func (s *Server) answerStats(w http.ResponseWriter, _ *http.Request) {
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
	web.Write(w, http.StatusOK, stats)
}
