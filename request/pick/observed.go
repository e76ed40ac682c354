package pick

import "time"

const (
	// cachedGain is the share of the first token's time that a cached prefix saves at most.
	cachedGain = 0.5
	// cachedFull is the number of cached tokens that saves the whole of it.
	cachedFull = 512
	// unknownFirstToken stands in for a server without observations.
	unknownFirstToken = 100 * time.Millisecond
)

// Observed returns the project's policy. In this order it prefers a server that meets the request's
// targets, the cheap kind for work that can be repeated or resumed and the regular kind otherwise,
// and the shortest expected time to first token given the own running counts and the prompt's prefix.
func Observed() Policy {
	return Policy{Name: "observed", Choose: chooseObserved}
}

func chooseObserved(servers []*Server, ask Ask) *Server {
	best, bestRank := servers[0], rankOf(servers[0], ask)
	for _, s := range servers[1:] {
		if r := rankOf(s, ask); r.before(bestRank) {
			best, bestRank = s, r
		}
	}
	return best
}

type rank struct {
	missesTarget bool
	wrongKind    bool
	expected     time.Duration
}

func rankOf(s *Server, ask Ask) rank {
	return rank{
		missesTarget: !meets(s, ask),
		wrongKind:    s.Cheap != ask.CheapAllowed,
		expected:     expected(s, ask),
	}
}

func (r rank) before(o rank) bool {
	if r.missesTarget != o.missesTarget {
		return o.missesTarget
	}
	if r.wrongKind != o.wrongKind {
		return o.wrongKind
	}
	return r.expected < o.expected
}

// Fits tells whether the server may take the request: a straggler only where its observed times meet
// the request's targets or where a probe is due.
func Fits(s *Server, ask Ask) bool { return s.ProbeDue || !TooSlow(s, ask) }

// TooSlow tells whether the server is a straggler whose observed times miss the request's targets.
func TooSlow(s *Server, ask Ask) bool { return s.Slow && !meets(s, ask) }

func meets(s *Server, ask Ask) bool {
	if ask.FirstTokenIn > 0 && s.FirstToken > ask.FirstTokenIn {
		return false
	}
	return ask.BetweenTokens <= 0 || s.BetweenTokens <= ask.BetweenTokens
}

// expected returns the expected time to first token.
func expected(s *Server, ask Ask) time.Duration {
	first := s.FirstToken
	if first <= 0 {
		first = unknownFirstToken
	}
	load := float64(s.Running+s.Reported.Waiting) / float64(max(s.Slots, 1))
	t := float64(first) * (1 + load)
	if ask.Cached != nil {
		hit := min(1, float64(ask.Cached(s.Name))/cachedFull)
		t *= 1 - cachedGain*hit
	}
	return time.Duration(t)
}
