package requestcount

import (
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

// SentWindows is the newest window for which any instance, as far as this one knows, has begun to send a report. The
// instances tell each other. After the store came back from an older copy, it is the only trace of a report whose sums
// the store has lost. The zero value is ready to use.
type SentWindows struct {
	mu       sync.Mutex
	newestMs int64
}

// Observe records that a report of the window that begins at startMs, in Unix milliseconds, was sent.
func (s *SentWindows) Observe(startMs int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestMs = max(s.newestMs, startMs)
}

// NewestMs returns the start of the newest window with a report, in Unix milliseconds; 0 if none is known.
func (s *SentWindows) NewestMs() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newestMs
}

// noteRewind records whether the sums that were read may lack windows that were reported: if the store came back from
// an older copy after they were written. found is false if there is no object with sums.
func (r *Reporter) noteRewind(found bool, objectVersion int, now time.Time) {
	era := r.Store.CurrentEra()
	rewound := found && platform.Era(objectVersion) > r.sums.Era
	if !found {
		// Before the first rewind, sums that aren't stored never were.
		rewound = era > 0
	}
	r.era = era
	if !rewound {
		return
	}
	r.doubtfulThroughMs = r.newestDue(now).UnixMilli()
	r.Log.Warn("usage_sums_rewound", platform.VersionField("version", objectVersion), zap.Int("windows", len(r.sums.Windows)), zap.Int64("newest_sent_ms", r.Sent.NewestMs()))
}

// settled returns the final counts of a window that isn't summed in the store, if no other counts may be reported for
// it. That is the case if this process sent a report of the window, or if another process may have sent one whose sum
// the store has lost: nothing is reported then, as the counts could differ.
func (r *Reporter) settled(start time.Time) (wire.CountsWindowCounts, bool) {
	startMs := start.UnixMilli()
	if counts, ok := r.sent[startMs]; ok {
		return maps.Clone(wire.CountsWindowCounts(counts)), true
	}
	if startMs > r.doubtfulThroughMs {
		return nil, false
	}
	if r.Sent.NewestMs() < startMs && r.StartedAt.Before(start.Add(r.Window)) {
		return nil, false
	}
	r.Log.Warn("usage_window_given_up", zap.Time("window", start), zap.Int64("newest_sent_ms", r.Sent.NewestMs()))
	return wire.CountsWindowCounts{}, true
}
