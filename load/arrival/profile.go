// Package arrival generates, writes and reads files of request arrivals, which list the requests of a load test with
// their times. Generation is seeded, so that two runs can replay the same load.
package arrival

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// Parameters of the prompts and answers of a generated load.
const (
	// prefixesPerWorkspace is the number of shared prompt prefixes of a workspace.
	prefixesPerWorkspace = 4
	// promptMedianTokens is the median length of a prompt, in tokens.
	promptMedianTokens = 120
	// promptSigma is the standard deviation of the logarithm of prompt lengths.
	promptSigma = 0.6
	// answerSigma is the standard deviation of the logarithm of answer lengths, which gives them a heavy tail.
	answerSigma = 1.0
	// maxAnswerTokens is the maximum length of an answer, in tokens.
	maxAnswerTokens = 2000
	// defaultAnswerTokens is the median length of an answer if the pool's configuration gives none, in tokens.
	defaultAnswerTokens = 60
)

// Surge multiplies the request rate of a class, of a workspace, or of a class of a workspace during a part of the run.
type Surge struct {
	// Class is the class whose rate changes; empty means all classes.
	Class string
	// Workspace is the workspace whose rate changes; empty means all workspaces.
	Workspace string
	// Factor is the factor by which the rate is multiplied.
	Factor float64
	// From and To are the start and end of the surge as fractions of the run, 0 to 1.
	From, To float64
}

// Profile describes a load to generate. Set the fields before calling Generate.
type Profile struct {
	// Config provides the classes, workspaces, routes and pools.
	Config *wire.Config
	// Seed is the seed of the random numbers. Equal seeds give equal arrivals.
	Seed uint64
	// Rate is the total number of requests per second without surges.
	Rate float64
	// RunDuration is the duration of the run.
	RunDuration time.Duration
	// Surges are the changes of the rate during the run.
	Surges []Surge
}

// ErrNoTraffic means that no workspace of a configuration may send a request on any route.
type ErrNoTraffic struct {
	// Deployment is the name of the deployment in the configuration.
	Deployment string
}

func (e ErrNoTraffic) Error() string {
	return fmt.Sprintf("deployment %s: no workspace may use a class of any route", e.Deployment)
}

// source describes the requests of one workspace and class on one route.
type source struct {
	workspace string
	class     string
	route     wire.Route
	// rule is the method rule that gives the method and path of the requests; empty if the route is for a model.
	rule wire.MethodRule
	// weight is the source's part of the request rate, relative to the sum of the weights of all sources.
	weight             float64
	medianAnswerTokens float64
}

// Generate generates the arrivals of the profile, sorted by time.
func (p *Profile) Generate() ([]wire.Arrival, error) {
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
		all = append(all, p.arrivals(rng, s, p.Rate*s.weight/total)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].AtMs < all[j].AtMs })
	for i := range all {
		all[i].Id = fmt.Sprintf("a%d-%06d", p.Seed, i)
	}
	return all, nil
}

// sources returns a source for each workspace, each class of the workspace, and each route that serves the class.
func (p *Profile) sources() []source {
	medianAnswers := map[string]float64{}
	for _, pool := range p.Config.Pools {
		medianAnswers[pool.Name] = float64(pool.ExpectedTokens)
	}
	serviceOnlyClasses := serviceClasses(p.Config.Routes)
	var all []source
	for _, w := range p.Config.Workspaces {
		weight := w.Weight
		if weight == 0 {
			weight = 1
		}
		for _, class := range w.Classes {
			for _, r := range p.Config.Routes {
				s := source{workspace: w.Name, class: class, route: r, weight: weight, medianAnswerTokens: medianAnswers[r.Pool]}
				if s.medianAnswerTokens == 0 {
					s.medianAnswerTokens = defaultAnswerTokens
				}
				if rule, ok := ruleFor(r, class, serviceOnlyClasses); ok {
					s.rule = rule
					all = append(all, s)
				}
			}
		}
	}
	return all
}

// serviceClasses returns the classes that the method rules of services name.
func serviceClasses(routes []wire.Route) map[string]bool {
	classes := map[string]bool{}
	for _, r := range routes {
		for _, rule := range r.Methods {
			classes[rule.Class] = true
		}
	}
	return classes
}

// ruleFor reports whether route r serves requests of class and, for a service, returns the method rule to use. A class
// that the method rules of a service name is not served by model routes.
func ruleFor(r wire.Route, class string, serviceOnlyClasses map[string]bool) (wire.MethodRule, bool) {
	if r.Kind == wire.RouteKindModel {
		return wire.MethodRule{}, !serviceOnlyClasses[class]
	}
	for _, rule := range r.Methods {
		if rule.Class == class {
			return rule, true
		}
	}
	return wire.MethodRule{}, false
}

// arrivals generates the Poisson arrivals of one source by thinning: it draws arrivals at the peak rate and drops some
// of them where the rate is lower.
func (p *Profile) arrivals(rng *rand.Rand, s source, rate float64) []wire.Arrival {
	peak := rate * p.peak(s)
	var list []wire.Arrival
	for atSeconds := rng.ExpFloat64() / peak; atSeconds < p.RunDuration.Seconds(); atSeconds += rng.ExpFloat64() / peak {
		if rng.Float64() > p.surgeFactor(s, atSeconds/p.RunDuration.Seconds())*rate/peak {
			continue
		}
		list = append(list, s.draw(rng, atSeconds))
	}
	return list
}

// surgeFactor returns the factor by which the surges multiply the rate of s at a fraction of the run.
func (p *Profile) surgeFactor(s source, fraction float64) float64 {
	factor := 1.0
	for _, surge := range p.Surges {
		if surge.appliesTo(s) && fraction >= surge.From && fraction < surge.To {
			factor *= surge.Factor
		}
	}
	return factor
}

// peak returns an upper bound of the surge factor of s over the run.
func (p *Profile) peak(s source) float64 {
	factor := 1.0
	for _, surge := range p.Surges {
		if surge.appliesTo(s) {
			factor *= math.Max(1, surge.Factor)
		}
	}
	return factor
}

func (g Surge) appliesTo(s source) bool {
	return (g.Class == "" || g.Class == s.class) && (g.Workspace == "" || g.Workspace == s.workspace)
}

// draw generates one random request of the source, which arrives at the given time after the start of the run.
func (s source) draw(rng *rand.Rand, atSeconds float64) wire.Arrival {
	a := wire.Arrival{
		AtMs:      int(atSeconds * 1000),
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
	a.Prefix = rng.IntN(prefixesPerWorkspace)
	a.PromptTokens = 1 + int(promptMedianTokens*math.Exp(promptSigma*rng.NormFloat64()))
	a.AnswerTokens = 1 + int(math.Min(maxAnswerTokens, s.medianAnswerTokens*math.Exp(answerSigma*rng.NormFloat64())))
	return a
}
