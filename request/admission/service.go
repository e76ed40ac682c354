// Package admission predicts from observed service whether a request can still meet its class's
// target, and limits the rate of each workspace. Its types hold no lock.
package admission

import (
	"time"

	"github.com/toucanroute/toucanroute/request/estimate"
)

const (
	// serviceWindow is the number of observations that a class's means remember.
	serviceWindow = 200
	// firstTokenQuantile is the quantile of the engine's time to first token that predictions use.
	firstTokenQuantile = 0.75
)

const (
	// DefaultHold stands in for the time of an attempt before any is observed.
	DefaultHold = 2 * time.Second
	// DefaultTokens stands in for the length of an answer before any is observed.
	DefaultTokens = 200
)

// Service is the observed service of a pool by class.
type Service struct {
	// ExpectedTokens is the usual length of an answer before any is observed; 0 reads as DefaultTokens.
	ExpectedTokens int

	classes map[string]*observed
	all     *observed
}

type observed struct {
	hold       estimate.Mean
	tokens     estimate.Mean
	firstToken estimate.Quantile
}

func newObserved() *observed {
	return &observed{
		hold:       estimate.Mean{Window: serviceWindow},
		tokens:     estimate.Mean{Window: serviceWindow},
		firstToken: estimate.Quantile{Of: firstTokenQuantile},
	}
}

// Observe takes in a finished attempt; 0 tokens or no first token is not known.
func (s *Service) Observe(class string, hold, firstToken time.Duration, tokens int) {
	if s.classes == nil {
		s.classes = make(map[string]*observed)
		s.all = newObserved()
	}
	o := s.classes[class]
	if o == nil {
		o = newObserved()
		s.classes[class] = o
	}
	for _, o := range []*observed{o, s.all} {
		o.observe(hold, firstToken, tokens)
	}
}

func (o *observed) observe(hold, firstToken time.Duration, tokens int) {
	if hold > 0 {
		o.hold.Observe(hold.Seconds())
	}
	if tokens > 0 {
		o.tokens.Observe(float64(tokens))
	}
	o.firstToken.Observe(firstToken.Seconds())
}

// of returns the class's observations, or the pool's where the class has none.
func (s *Service) of(class string) *observed {
	if o := s.classes[class]; o != nil && o.hold.Count() > 0 {
		return o
	}
	return s.all
}

// Hold returns the mean time that a request of the class holds a slot.
func (s *Service) Hold(class string) time.Duration {
	o := s.of(class)
	if o == nil || o.hold.Count() == 0 {
		return DefaultHold
	}
	return time.Duration(o.hold.Value() * float64(time.Second))
}

// Tokens returns the mean length of the class's answers.
func (s *Service) Tokens(class string) float64 {
	o := s.of(class)
	if o != nil && o.tokens.Count() > 0 {
		return o.tokens.Value()
	}
	if s.ExpectedTokens > 0 {
		return float64(s.ExpectedTokens)
	}
	return DefaultTokens
}

// FirstToken returns the engine's usual time to first token for the class, 0 before any is observed.
func (s *Service) FirstToken(class string) time.Duration {
	o := s.of(class)
	if o == nil {
		return 0
	}
	return time.Duration(o.firstToken.Value() * float64(time.Second))
}
