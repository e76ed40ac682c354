package attempt

import (
	"slices"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/request/estimate"
)

const (
	// stragglerFactor is the multiple of the pool's median above which a server becomes a straggler.
	stragglerFactor = 2
	// recoveredFactor is the multiple of the median up to which a straggler has recovered; it is lower for hysteresis.
	recoveredFactor = 1.4
	// medianReuseDivisor determines how often the medians are computed: a pool with n servers uses them for
	// n/medianReuseDivisor further observations before it computes them again.
	medianReuseDivisor = 8
	// minSamples is the number of observations that a server needs before its means are used.
	minSamples = 3
	// sampleWindow is the number of recent observations over which the means of a server are taken.
	sampleWindow = 8
	// probeInterval is the time between two probes of a straggler with requests that can be repeated, and
	// nonRepeatableProbeInterval the same with other requests.
	probeInterval              = 2 * time.Second
	nonRepeatableProbeInterval = time.Minute
)

// StragglerDetector finds the stragglers of a pool: the backend servers whose time to first token, or time between
// tokens, is far above the pool's median.
type StragglerDetector struct {
	mu      sync.Mutex
	servers map[string]*serverTimes
	// The medians of the servers' mean times are in seconds. They are used for several observations, as
	// medianReuseDivisor says.
	medianFirstToken, medianTokenGap float64
	// medianReusesLeft is the number of observations until the medians are computed again.
	medianReusesLeft int
}

// serverTimes holds the mean times of one server, in seconds.
type serverTimes struct {
	firstToken estimate.Mean
	tokenGap   estimate.Mean
	// slow reports that the server is a straggler.
	slow bool
	// probedAt is the time of the last probe; before the first one, the time at which the server became a straggler.
	probedAt time.Time
}

// Observe records one attempt on the server: its time to first token and its mean time between tokens; 0 means unknown.
func (s *StragglerDetector) Observe(server string, firstToken, tokenGap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.servers == nil {
		s.servers = make(map[string]*serverTimes)
	}
	times := s.servers[server]
	if times == nil {
		times = &serverTimes{firstToken: estimate.Mean{Window: sampleWindow}, tokenGap: estimate.Mean{Window: sampleWindow}}
		s.servers[server] = times
	}
	if firstToken > 0 {
		times.firstToken.Observe(firstToken.Seconds())
	}
	if tokenGap > 0 {
		times.tokenGap.Observe(tokenGap.Seconds())
	}
	slow := times.slow
	s.classify(times)
	if times.slow && !slow {
		times.probedAt = time.Now()
	}
}

// classify updates whether the server is a straggler.
func (s *StragglerDetector) classify(times *serverTimes) {
	if times.firstToken.Count() < minSamples {
		return
	}
	factor := float64(stragglerFactor)
	if times.slow {
		factor = recoveredFactor
	}
	s.updateMedians()
	times.slow = exceeds(times.firstToken.Value(), factor*s.medianFirstToken) || exceeds(times.tokenGap.Value(), factor*s.medianTokenGap)
}

// updateMedians computes the medians again if they were reused often enough.
func (s *StragglerDetector) updateMedians() {
	if s.medianReusesLeft > 0 {
		s.medianReusesLeft--
		return
	}
	s.medianReusesLeft = len(s.servers) / medianReuseDivisor
	s.medianFirstToken = s.median(func(times *serverTimes) estimate.Mean { return times.firstToken })
	s.medianTokenGap = s.median(func(times *serverTimes) estimate.Mean { return times.tokenGap })
}

// exceeds reports whether v exceeds the limit; a limit of 0 means none.
func exceeds(value, limit float64) bool { return limit > 0 && value > limit }

// median returns the median of the means that the function mean selects from the servers. It returns 0 if fewer than
// two servers have enough observations.
func (s *StragglerDetector) median(mean func(*serverTimes) estimate.Mean) float64 {
	values := make([]float64, 0, len(s.servers))
	for _, times := range s.servers {
		if m := mean(times); m.Count() >= minSamples {
			values = append(values, m.Value())
		}
	}
	if len(values) < 2 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// IsStraggler reports whether the server is a straggler.
func (s *StragglerDetector) IsStraggler(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	times := s.servers[server]
	return times != nil && times.slow
}

// ProbeDue reports whether the server is a straggler that may get one request as a probe of whether it has recovered.
// Requests that can't be repeated are used as probes less often.
func (s *StragglerDetector) ProbeDue(server string, now time.Time, repeatable bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	times := s.servers[server]
	interval := probeInterval
	if !repeatable {
		interval = nonRepeatableProbeInterval
	}
	return times != nil && times.slow && now.Sub(times.probedAt) >= interval
}

// RecordProbe records that a probe was sent to the server.
func (s *StragglerDetector) RecordProbe(server string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if times := s.servers[server]; times != nil {
		times.probedAt = now
	}
}

// Times returns the server's mean time to first token and mean time between tokens; 0 means no observation.
func (s *StragglerDetector) Times(server string) (firstToken, tokenGap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	times := s.servers[server]
	if times == nil {
		return 0, 0
	}
	return seconds(times.firstToken.Value()), seconds(times.tokenGap.Value())
}

// Forget deletes the observations of a server, such as after its restart.
func (s *StragglerDetector) Forget(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.servers, server)
}

// seconds converts a number of seconds to a Duration.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
