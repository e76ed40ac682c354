// Package admission predicts from observed service times whether a request can meet the target of its class, and limits
// the request and token rates of each workspace. Its types aren't safe for concurrent use.
package admission

import (
	"time"

	"github.com/toucanroute/toucanroute/request/estimate"
)

const (
	// serviceWindow is the number of recent observations over which the means of a class are taken.
	serviceWindow = 200
	// firstTokenQuantile is the quantile of a class's times to first token that predictions use.
	firstTokenQuantile = 0.75
)

const (
	// DefaultSlotTime is the assumed time that an attempt holds a slot until one is observed.
	DefaultSlotTime = 2 * time.Second
	// DefaultAnswerTokens is the assumed length of an answer in tokens until one is observed.
	DefaultAnswerTokens = 200
)

// ServiceStats holds the observed slot times, answer lengths and times to first token of a pool, by class.
type ServiceStats struct {
	// ExpectedTokens is the assumed length of an answer in tokens until one is observed; 0 means
	// DefaultAnswerTokens.
	ExpectedTokens int

	classes    map[string]*estimates
	allClasses *estimates
}

// estimates holds the estimated slot time and time to first token in seconds and the estimated answer length in tokens,
// of one class or of all classes.
type estimates struct {
	slotTime   estimate.Mean
	tokens     estimate.Mean
	firstToken estimate.Quantile
}

func newEstimates() *estimates {
	return &estimates{
		slotTime:   estimate.Mean{Window: serviceWindow},
		tokens:     estimate.Mean{Window: serviceWindow},
		firstToken: estimate.Quantile{Level: firstTokenQuantile},
	}
}

// Observe records a finished attempt: the time for which it held a slot, its time to first token and its number of
// generated tokens. A value of 0 means unknown.
func (s *ServiceStats) Observe(class string, slotTime, firstToken time.Duration, tokens int) {
	if s.classes == nil {
		s.classes = make(map[string]*estimates)
		s.allClasses = newEstimates()
	}
	o := s.classes[class]
	if o == nil {
		o = newEstimates()
		s.classes[class] = o
	}
	for _, o := range []*estimates{o, s.allClasses} {
		o.observe(slotTime, firstToken, tokens)
	}
}

func (o *estimates) observe(slotTime, firstToken time.Duration, tokens int) {
	if slotTime > 0 {
		o.slotTime.Observe(slotTime.Seconds())
	}
	if tokens > 0 {
		o.tokens.Observe(float64(tokens))
	}
	o.firstToken.Observe(firstToken.Seconds())
}

// estimatesOf returns the estimates of the class, those of all classes if the class has no observation, or nil if there
// is none at all.
func (s *ServiceStats) estimatesOf(class string) *estimates {
	if o := s.classes[class]; o != nil && o.slotTime.Count() > 0 {
		return o
	}
	return s.allClasses
}

// SlotTime returns the mean time that a request of the class holds a slot.
func (s *ServiceStats) SlotTime(class string) time.Duration {
	o := s.estimatesOf(class)
	if o == nil || o.slotTime.Count() == 0 {
		return DefaultSlotTime
	}
	return time.Duration(o.slotTime.Value() * float64(time.Second))
}

// AnswerTokens returns the mean length of the class's answers in tokens.
func (s *ServiceStats) AnswerTokens(class string) float64 {
	o := s.estimatesOf(class)
	if o != nil && o.tokens.Count() > 0 {
		return o.tokens.Value()
	}
	if s.ExpectedTokens > 0 {
		return float64(s.ExpectedTokens)
	}
	return DefaultAnswerTokens
}

// FirstToken returns the estimated firstTokenQuantile of the time to first token of the class, or 0 before any is
// observed.
func (s *ServiceStats) FirstToken(class string) time.Duration {
	o := s.estimatesOf(class)
	if o == nil {
		return 0
	}
	return time.Duration(o.firstToken.Value() * float64(time.Second))
}
