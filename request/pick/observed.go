package pick

import "time"

const (
	// maxCacheGain is the largest part of the time to first token that a cached prefix saves.
	maxCacheGain = 0.5
	// fullGainTokens is the number of cached tokens from which the saved part is maxCacheGain; fewer tokens save
	// proportionally less.
	fullGainTokens = 512
	// defaultFirstToken is the assumed time to first token of a server without observations.
	defaultFirstToken = 100 * time.Millisecond
)

// ObservedPolicy returns the default policy, which uses the measured times of the servers. In this order it prefers a
// server that meets the request's targets; a cheap server for a request that can be repeated or resumed, and a regular
// server for others; and the shortest expected time to first token given the running requests and the cached prefix of
// the prompt.
func ObservedPolicy() Policy {
	return Policy{Name: "observed", Choose: chooseObserved}
}

func chooseObserved(servers []*Server, req Requirements) *Server {
	best, bestRank := servers[0], rankOf(servers[0], req)
	for _, s := range servers[1:] {
		if r := rankOf(s, req); r.before(bestRank) {
			best, bestRank = s, r
		}
	}
	return best
}

// rank orders the servers for a request; the fields are compared in their order, and the lower rank is preferred.
type rank struct {
	missesTarget bool
	// wrongServerKind is true for a regular server if the request may run on a cheap one, and for a cheap server
	// otherwise.
	wrongServerKind    bool
	expectedFirstToken time.Duration
}

func rankOf(s *Server, req Requirements) rank {
	return rank{
		missesTarget:       !meetsTargets(s, req),
		wrongServerKind:    s.Cheap != req.CheapAllowed,
		expectedFirstToken: expectedFirstToken(s, req),
	}
}

func (r rank) before(o rank) bool {
	if r.missesTarget != o.missesTarget {
		return o.missesTarget
	}
	if r.wrongServerKind != o.wrongServerKind {
		return o.wrongServerKind
	}
	return r.expectedFirstToken < o.expectedFirstToken
}

// Fits reports whether the server may serve the request: a straggler only if its observed times meet the request's
// targets or if a probe is due.
func Fits(s *Server, req Requirements) bool { return s.ProbeDue || !TooSlow(s, req) }

// TooSlow reports whether the server is a straggler whose observed times miss the request's targets.
func TooSlow(s *Server, req Requirements) bool { return s.IsStraggler && !meetsTargets(s, req) }

// meetsTargets reports whether the server's observed times meet the request's targets.
func meetsTargets(s *Server, req Requirements) bool {
	if req.FirstTokenBudget > 0 && s.FirstToken > req.FirstTokenBudget {
		return false
	}
	return req.BetweenTokens <= 0 || s.BetweenTokens <= req.BetweenTokens
}

// expectedFirstToken returns the expected time to first token on the server.
func expectedFirstToken(s *Server, req Requirements) time.Duration {
	firstToken := s.FirstToken
	if firstToken <= 0 {
		firstToken = defaultFirstToken
	}
	load := float64(s.Running+s.Reported.Waiting) / float64(max(s.Slots, 1))
	wait := float64(firstToken) * (1 + load)
	if req.Cached != nil {
		cachedShare := min(1, float64(req.Cached(s.Name))/fullGainTokens)
		wait *= 1 - maxCacheGain*cachedShare
	}
	return time.Duration(wait)
}
