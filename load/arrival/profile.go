// Package arrival makes and reads recorded arrival files: seeded, so that two runs replay the same load.
package arrival

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// Shape of the prompts and answers of a made load.
const (
	// prefixes is the number of shared prompt prefixes of a workspace.
	prefixes = 4
	// promptMedian is the median length of a prompt, in tokens.
	promptMedian = 120
	// promptSigma is the spread of the log of prompt lengths.
	promptSigma = 0.6
	// answerSigma is the spread of the log of answer lengths; it makes the tail heavy.
	answerSigma = 1.0
	// longestAnswer bounds an answer, in tokens.
	longestAnswer = 2000
	// defaultAnswer is the median answer where the pool tells none, in tokens.
	defaultAnswer = 60
)

// Surge multiplies the arrivals of one class or one workspace for a part of the run.
type Surge struct {
	// Class is the class that surges; empty is any.
	Class string
	// Workspace is the workspace that surges; empty is any.
	Workspace string
	// Factor multiplies the rate.
	Factor float64
	// From and To bound the surge as shares of the run, 0 to 1.
	From, To float64
}

// Profile describes a load to make. Set the fields before Make.
type Profile struct {
	// Config gives classes, workspaces and routes.
	Config *wire.Config
	// Seed makes two files alike.
	Seed uint64
	// Rate is the number of requests per second without surges.
	Rate float64
	// Length is the length of the run.
	Length time.Duration
	// Surges change the rate over the run.
	Surges []Surge
}

// ErrNoTraffic tells that a configuration gives no request that a workspace may send.
type ErrNoTraffic struct {
	// Deployment is the configuration's deployment.
	Deployment string
}

func (e ErrNoTraffic) Error() string {
	return fmt.Sprintf("deployment %s: no workspace may use a class of any route", e.Deployment)
}

// source is one stream of alike requests.
type source struct {
	workspace string
	class     string
	route     wire.Route
	rule      wire.MethodRule
	weight    float64
	answer    float64
}

// Make returns the arrivals of the profile in order of time.
func (p *Profile) Make() ([]wire.Arrival, error) {
	sources := p.sources()
	if len(sources) == 0 {
		return nil, ErrNoTraffic{Deployment: p.Config.Deployment}
	}
	total := 0.0
	for _, s := range sources {
		total += s.weight
	}
	var all []wire.Arrival
	for i, s := range sources {
		rng := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		all = append(all, p.stream(rng, s, p.Rate*s.weight/total)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].AtMs < all[j].AtMs })
	for i := range all {
		all[i].Id = fmt.Sprintf("a%d-%06d", p.Seed, i)
	}
	return all, nil
}

// sources returns each workspace's streams: its classes on the routes that lead to them.
func (p *Profile) sources() []source {
	answers := map[string]float64{}
	for _, pool := range p.Config.Pools {
		answers[pool.Name] = float64(pool.ExpectedTokens)
	}
	onService := serviceClasses(p.Config.Routes)
	var all []source
	for _, w := range p.Config.Workspaces {
		weight := w.Weight
		if weight == 0 {
			weight = 1
		}
		for _, class := range w.Classes {
			for _, r := range p.Config.Routes {
				s := source{workspace: w.Name, class: class, route: r, weight: weight, answer: answers[r.Pool]}
				if s.answer == 0 {
					s.answer = defaultAnswer
				}
				if rule, ok := carries(r, class, onService); ok {
					s.rule = rule
					all = append(all, s)
				}
			}
		}
	}
	return all
}

// serviceClasses returns the classes that a service rule names.
func serviceClasses(routes []wire.Route) map[string]bool {
	classes := map[string]bool{}
	for _, r := range routes {
		for _, rule := range r.Methods {
			classes[rule.Class] = true
		}
	}
	return classes
}

// carries tells whether requests of class go over r and, for a service, by which rule. A class that a service rule
// names goes over that service alone.
func carries(r wire.Route, class string, onService map[string]bool) (wire.MethodRule, bool) {
	if r.Kind == wire.RouteKindModel {
		return wire.MethodRule{}, !onService[class]
	}
	for _, rule := range r.Methods {
		if rule.Class == class {
			return rule, true
		}
	}
	return wire.MethodRule{}, false
}

// stream makes the Poisson arrivals of one source by thinning at its highest rate.
func (p *Profile) stream(rng *rand.Rand, s source, rate float64) []wire.Arrival {
	peak := rate * p.peak(s)
	var list []wire.Arrival
	for at := rng.ExpFloat64() / peak; at < p.Length.Seconds(); at += rng.ExpFloat64() / peak {
		if rng.Float64() > p.factor(s, at/p.Length.Seconds())*rate/peak {
			continue
		}
		list = append(list, s.arrival(rng, at))
	}
	return list
}

// factor returns what the surges make of the rate of s at a share of the run.
func (p *Profile) factor(s source, at float64) float64 {
	f := 1.0
	for _, surge := range p.Surges {
		if surge.hits(s) && at >= surge.From && at < surge.To {
			f *= surge.Factor
		}
	}
	return f
}

// peak returns a bound of factor over the run.
func (p *Profile) peak(s source) float64 {
	f := 1.0
	for _, surge := range p.Surges {
		if surge.hits(s) {
			f *= math.Max(1, surge.Factor)
		}
	}
	return f
}

func (g Surge) hits(s source) bool {
	return (g.Class == "" || g.Class == s.class) && (g.Workspace == "" || g.Workspace == s.workspace)
}

// arrival draws one request of the source.
func (s source) arrival(rng *rand.Rand, at float64) wire.Arrival {
	a := wire.Arrival{
		AtMs:      int(at * 1000),
		Workspace: s.workspace,
		Class:     s.class,
		Route:     s.route.Name,
		Kind:      wire.ArrivalKind(s.route.Kind),
	}
	if s.route.Kind == wire.RouteKindService {
		a.Method = s.rule.Method
		a.Path = s.rule.PathPrefix
		return a
	}
	a.Prefix = rng.IntN(prefixes)
	a.PromptTokens = 1 + int(promptMedian*math.Exp(promptSigma*rng.NormFloat64()))
	a.AnswerTokens = 1 + int(math.Min(longestAnswer, s.answer*math.Exp(answerSigma*rng.NormFloat64())))
	return a
}
