package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// stepTimeWeight is the weight of the newest step time in its moving average.
	stepTimeWeight = 0.1
	// speedSlot is the length of a time slot of reported work times, and recentSlots the number of slots from which the
	// lasting one is taken: four seconds, longer than a machine is busy with something else.
	speedSlot   = 500 * time.Millisecond
	recentSlots = 8
	// reportsToOutvote is the number of reports from which a single low one isn't believed. So many are kept however old
	// they are, for servers that report rarely.
	reportsToOutvote = 4
	// lastingBand is the ratio by which the lasting work time must change to count as changed. It is less than half a
	// speedStep, so that figures that vary at the edge of a level don't change the level each time.
	lastingBand = 1.1
	// workTimeDecay is the time in which a reported work time loses two thirds of its weight: it changes many times a
	// second.
	workTimeDecay = 300 * time.Millisecond
	// maxWorkTime bounds a reported work time relative to the server's lasting one, so that a false report can't keep all
	// work away.
	maxWorkTime = 8
	// minSpeed and maxSpeed bound the lasting speed that is believed: a false report attracts at most twice the usual work.
	minSpeed, maxSpeed = 0.25, 2
	// maxStepExcess is the ratio of a server's mean step time to the median of its pool, counted for its reported speed,
	// above which the report isn't believed. Prefills lengthen the mean step of a busy server up to threefold.
	maxStepExcess = 3
	// speedStep is the ratio of two levels of the lasting speed by which shared parts of prompts are assigned and servers
	// split into groups, so that instances with slightly different figures do that alike. A server within one step of the usual
	// speed counts as usual.
	speedStep = 1.25
)

// Speed is what an instance knows of the speed of one server: apart from each other the lasting speed and how long work
// takes at this moment, both by the server's reports, and the mean step time of the requests there. The zero value knows
// nothing. It isn't safe for concurrent use.
//
// It handles pools whose servers differ in speed, on machines that are shared with others, and reports that are false.
// A server that reports no work times is judged by its mean step time only.
type Speed struct {
	// stepMs is the moving average of the step times in milliseconds; 0 if unknown.
	stepMs float64
	// slots holds the reports of the newest time slots that have any, count of them, the newest in front.
	slots [recentSlots]reportSlot
	count int
	// newest is the newest reported work time, which came at reportedAt.
	newest     float64
	reportedAt time.Time
	// lasting is the work time without what is momentary: the lowest of the slots, or the second lowest if there are
	// enough reports to outvote one, unless it is within lastingBand of what it was before.
	lasting float64
}

// reportSlot holds the work times that a server reported in one time slot.
type reportSlot struct {
	// number is the time of the slot in units of speedSlot.
	number int64
	// lowest and second are the two lowest work times; second is infinite if there is only one.
	lowest, second float64
	reports        int
}

// ObserveStep records the duration of one step: the time between two events of a stream.
func (s *Speed) ObserveStep(d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	if s.stepMs == 0 {
		s.stepMs = ms
		return
	}
	s.stepMs += stepTimeWeight * (ms - s.stepMs)
}

// ObserveWorkTime records how long work took at a time, relative to the usual time of all servers, as the server
// reported it. A report that is older than the newest one is ignored.
func (s *Speed) ObserveWorkTime(workTime float64, at time.Time) {
	if !(workTime > 0) || math.IsInf(workTime, 0) || at.Before(s.reportedAt) {
		return
	}
	s.newest, s.reportedAt = workTime, at
	number := at.UnixNano() / int64(speedSlot)
	if s.count == 0 || s.slots[0].number != number {
		copy(s.slots[1:], s.slots[:])
		s.slots[0] = reportSlot{number: number, lowest: math.Inf(1), second: math.Inf(1)}
		s.count = min(s.count+1, recentSlots)
	}
	s.slots[0].add(workTime)
	lasting := s.lowestWorkTime()
	if s.lasting == 0 || max(lasting/s.lasting, s.lasting/lasting) > lastingBand {
		s.lasting = lasting
	}
}

func (r *reportSlot) add(workTime float64) {
	r.reports++
	switch {
	case workTime < r.lowest:
		r.lowest, r.second = workTime, r.lowest
	case workTime < r.second:
		r.second = workTime
	}
}

// lowestWorkTime returns the lowest work time of the recent slots, or the second lowest if there are enough reports to
// outvote one.
func (s *Speed) lowestWorkTime() float64 {
	all := reportSlot{lowest: math.Inf(1), second: math.Inf(1)}
	for _, slot := range s.slots[:s.count] {
		if all.reports >= reportsToOutvote && s.slots[0].number-slot.number >= recentSlots {
			break
		}
		reports := all.reports + slot.reports
		all.add(slot.lowest)
		if slot.reports > 1 {
			all.add(slot.second)
		}
		all.reports = reports
	}
	if all.reports >= reportsToOutvote {
		return all.second
	}
	return all.lowest
}

// StepMs returns the mean step time in milliseconds; 0 if unknown.
func (s *Speed) StepMs() float64 { return s.stepMs }

// Lasting returns the lasting speed, relative to the usual server; 0 if the server reported no work time.
func (s *Speed) Lasting() float64 {
	if s.count == 0 {
		return 0
	}
	return min(max(1/s.lasting, minSpeed), maxSpeed)
}

// ReportedAt returns the time of the newest report; zero if there was none.
func (s *Speed) ReportedAt() time.Time { return s.reportedAt }

// WorkTime returns how long work takes at this moment, relative to the lasting work time; 0 if the server reported none.
// A report counts the less the older it is.
func (s *Speed) WorkTime(now time.Time) float64 {
	if s.count == 0 {
		return 0
	}
	if s.newest == s.lasting {
		return 1
	}
	ratio := min(max(s.newest/s.lasting, 1.0/maxWorkTime), maxWorkTime)
	age := max(now.Sub(s.reportedAt), 0)
	return 1 + (ratio-1)*math.Exp(-float64(age)/float64(workTimeDecay))
}

// reportsWorkTime reports whether the server says how long work takes. Only then its speed counts in full; otherwise a
// slow server's waits are longer, and that is all.
func (c *Candidate) reportsWorkTime() bool { return c.WorkTime > 0 }

// slowness returns how long work takes on the server at this moment, relative to the usual time of its pool; 1 if the
// server doesn't report work times.
func (c *Candidate) slowness() float64 {
	switch {
	case !c.reportsWorkTime():
		return 1
	case c.Speed <= 0:
		return c.WorkTime
	default:
		return c.WorkTime / c.Speed
	}
}

// waitFactor returns the factor by which waits at the server are longer than usual.
func (c *Candidate) waitFactor() float64 {
	if !c.reportsWorkTime() {
		if c.Speed > 0 && c.Speed < 1 {
			return 1 / c.Speed
		}
		return 1
	}
	return c.slowness()
}

// level returns the level of the lasting speed; 1 if the server doesn't report work times.
func (c *Candidate) level() float64 {
	if !c.reportsWorkTime() {
		return 1
	}
	return SpeedLevel(c.Speed)
}

// SpeedLevel returns a lasting speed, rounded to a power of speedStep; 1 if the speed is unknown.
func SpeedLevel(speed float64) float64 {
	if speed <= 0 || speed == 1 {
		return 1
	}
	steps := math.Round(math.Log(speed) / math.Log(speedStep))
	if math.Abs(steps) <= 1 {
		return 1
	}
	return math.Pow(speedStep, steps)
}

// weightedScore turns the rendezvous hash of a server into one by which servers are chosen in proportion to their
// weights. Servers of the same weight keep the order of their hashes.
func weightedScore(hash uint64, weight float64) float64 {
	return weight / -math.Log((float64(hash>>11)+0.5)/(1<<53))
}

// rank is the place of a server in the order for an affinity key.
type rank struct {
	hash         uint64
	level, score float64
}

func (c *Candidate) rank(keyHash uint64) rank {
	r := rank{hash: rendezvousHash(keyHash, c.Name), level: c.level()}
	if c.reportsWorkTime() {
		r.score = weightedScore(r.hash, r.level)
	}
	return r
}

// compare orders servers by descending weighted score; servers of the same level by descending hash.
func (r rank) compare(other rank) int {
	if r.level == other.level {
		return cmp.Compare(other.hash, r.hash)
	}
	return cmp.Compare(other.score, r.score)
}

// SetSpeeds completes the speeds of the candidates by their mean step times in milliseconds, 0 if unknown. If a server
// of the pool reports work times, its speed is already set, and the step times only show reports that are false; a
// server that hasn't reported yet counts as usual. In other pools the speeds are the ratios of the median step time to
// those of the servers.
func SetSpeeds(candidates []Candidate, stepMs []float64) {
	known := make([]float64, 0, len(stepMs))
	for _, ms := range stepMs {
		if ms > 0 {
			known = append(known, ms)
		}
	}
	usualMs := Median(known)
	isReported := slices.ContainsFunc(candidates, func(c Candidate) bool { return c.reportsWorkTime() })
	for i, ms := range stepMs {
		c := &candidates[i]
		bySteps := 0.0
		if ms > 0 && usualMs > 0 {
			bySteps = usualMs / ms
		}
		switch {
		case !isReported:
			c.Speed = bySteps
		case !c.reportsWorkTime():
			c.Speed, c.WorkTime = 1, 1
		case bySteps > 0 && bySteps*maxStepExcess < c.Speed:
			c.Speed = max(bySteps, minSpeed)
		}
	}
}
