package attempt

import (
	"slices"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/request/estimate"
)

const (
	// stragglerFactor is how far above the pool's median a straggler's times are.
	stragglerFactor = 2
	// recoveredFactor is the hysteresis: below it the server is no straggler any more.
	recoveredFactor = 1.4
	// medianShare is the number of servers for each observation between two looks at the medians.
	medianShare      = 8
	stragglerSamples = 3
	stragglerWindow  = 8
	// stragglerProbeEvery is the time between two probes by work that can be repeated, and
	// stragglerProbeOther the same by other work.
	stragglerProbeEvery = 2 * time.Second
	stragglerProbeOther = time.Minute
)

// Stragglers compares the observed times of backend servers with the median of their pool.
type Stragglers struct {
	mu      sync.Mutex
	servers map[string]*observed
	// medians are as old as some observations, a share of the number of servers.
	medianFirst, medianBetween float64
	sinceMedian                int
}

type observed struct {
	firstToken estimate.Mean
	between    estimate.Mean
	slow       bool
	probed     time.Time
}

// Observe notes one attempt: its time to first token and its mean time between tokens; 0 is none.
func (s *Stragglers) Observe(server string, firstToken, between time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.servers == nil {
		s.servers = make(map[string]*observed)
	}
	o := s.servers[server]
	if o == nil {
		o = &observed{firstToken: estimate.Mean{Window: stragglerWindow}, between: estimate.Mean{Window: stragglerWindow}}
		s.servers[server] = o
	}
	if firstToken > 0 {
		o.firstToken.Observe(firstToken.Seconds())
	}
	if between > 0 {
		o.between.Observe(between.Seconds())
	}
	slow := o.slow
	s.judge(o)
	if o.slow && !slow {
		o.probed = time.Now()
	}
}

func (s *Stragglers) judge(o *observed) {
	if o.firstToken.Count() < stragglerSamples {
		return
	}
	factor := float64(stragglerFactor)
	if o.slow {
		factor = recoveredFactor
	}
	s.updateMedians()
	o.slow = above(o.firstToken.Value(), factor*s.medianFirst) || above(o.between.Value(), factor*s.medianBetween)
}

func (s *Stragglers) updateMedians() {
	if s.sinceMedian > 0 {
		s.sinceMedian--
		return
	}
	s.sinceMedian = len(s.servers) / medianShare
	s.medianFirst = s.median(func(o *observed) estimate.Mean { return o.firstToken })
	s.medianBetween = s.median(func(o *observed) estimate.Mean { return o.between })
}

func above(v, limit float64) bool { return limit > 0 && v > limit }

func (s *Stragglers) median(of func(*observed) estimate.Mean) float64 {
	values := make([]float64, 0, len(s.servers))
	for _, o := range s.servers {
		if m := of(o); m.Count() >= stragglerSamples {
			values = append(values, m.Value())
		}
	}
	if len(values) < 2 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Slow tells whether the server is a straggler.
func (s *Stragglers) Slow(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.servers[server]
	return o != nil && o.slow
}

// ProbeDue tells whether a straggler may get one request to see whether it has recovered. Work that
// can't be repeated probes seldom.
func (s *Stragglers) ProbeDue(server string, now time.Time, repeatable bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.servers[server]
	every := stragglerProbeEvery
	if !repeatable {
		every = stragglerProbeOther
	}
	return o != nil && o.slow && now.Sub(o.probed) >= every
}

// Probed notes that a probe has gone to the server.
func (s *Stragglers) Probed(server string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.servers[server]; o != nil {
		o.probed = now
	}
}

// Times returns the server's smoothed time to first token and time between tokens; 0 is none.
func (s *Stragglers) Times(server string) (firstToken, between time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.servers[server]
	if o == nil {
		return 0, 0
	}
	return seconds(o.firstToken.Value()), seconds(o.between.Value())
}

// Forget drops the observations of a server, such as after its restart.
func (s *Stragglers) Forget(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.servers, server)
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
