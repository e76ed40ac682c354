// Package sizing decides how many backend servers of which kind a pool has in each data centre. Its decisions are plain
// functions of what is known.
package sizing

import (
	"math"
	"slices"
	"time"
)

// Site is a pool in one data centre.
type Site struct {
	DataCentre string
	// Base is the number of servers that the operator had set up.
	Base int
	// Regular and Cheap are the serving servers of each kind.
	Regular int
	Cheap   int
	// Price is that of a regular server's second.
	Price float64
	// CheapMissing tells that the cheap kind was reclaimed or refused there a short time ago.
	CheapMissing bool
}

// Bounds hold for each data centre.
type Bounds struct {
	// Min and Max bound the servers of both kinds together.
	Min int
	Max int
}

// Count is the number of servers that a data centre should have.
type Count struct {
	Regular int
	Cheap   int
}

const (
	// regularShare is the part of the base that stays of the regular kind, which is never reclaimed.
	regularShare = 0.2
	// totalShare is the number of servers for each one of the base: a reclaim takes the cheap ones of a data centre
	// at once, and what is left must do the work of the base until others have started.
	totalShare = 1.4
	// leastShare is the part of the base below which regular servers are ordered in place of cheap ones that can't be had.
	leastShare = 0.75
	// strainedTotal and strainedLeast take the places of totalShare and leastShare while the servers are strained: a burst
	// of one kind of request asks for about twice the usual.
	strainedTotal = 1.8
	strainedLeast = 1.8
	// settled is the part of the ordered cheap servers that must serve before regular ones are given up.
	settled = 0.75
)

// Counts returns the number of servers of each kind for each site, in their order. It answers a steady load, a data
// centre that loses its cheap servers at once, and cheap servers that can't be had.
//
// Where the servers are strained, cheap and regular ones are ordered up to what a burst needs. Servers that the present work
// needs aren't given up, and stand in where the cheap kind can't be had; 0 is that the work isn't known.
func Counts(sites []Site, b Bounds, strained bool, needed int) []Count {
	counts := make([]Count, len(sites))
	total, least := totalShare, leastShare
	if strained {
		total, least = strainedTotal, strainedLeast
	}
	floor, served := 0, 0
	for i, s := range sites {
		counts[i] = usual(s, b, total)
		floor += int(math.Ceil(least * float64(s.Base)))
		served += counts[i].Regular + s.Cheap
	}
	for i, s := range sites {
		if !s.CheapMissing && s.Cheap < int(math.Ceil(settled*float64(counts[i].Cheap))) && s.Regular > counts[i].Regular {
			// The cheap ones are still starting.
			counts[i].Regular = min(max(s.Regular, counts[i].Regular), b.Max-counts[i].Cheap)
		}
	}
	fill(sites, counts, b, max(floor, needed)-served)
	return counts
}

// usual returns the number of servers in a site where nothing is missing.
func usual(s Site, b Bounds, share float64) Count {
	total := clamp(int(math.Ceil(share*float64(s.Base))), b.Min, b.Max)
	regular := clamp(int(math.Round(regularShare*float64(s.Base))), 1, total)
	return Count{Regular: regular, Cheap: total - regular}
}

const (
	// strainedWait is the mean unread work of a server from which a pool counts as strained: the shortest usual target
	// for a first event.
	strainedWait = 250 * time.Millisecond
	// strainedFor is how long a pool stays strained, so that what was ordered has started and is used.
	strainedFor = 8 * time.Second
	// strainAge is the time in which a past observation loses two thirds of its weight.
	strainAge = time.Second
)

// Strain follows whether the servers of a pool have more work than they can do in time. It belongs to one goroutine.
type Strain struct {
	mean  float64
	at    time.Time
	until time.Time
}

// Observe takes the mean time that a server needs for what it has yet to read, and tells whether the pool is strained.
func (s *Strain) Observe(wait time.Duration, now time.Time) bool {
	if s.at.IsZero() {
		s.at = now
	}
	weight := 1 - math.Exp(-float64(now.Sub(s.at))/float64(strainAge))
	s.mean += weight * (float64(wait) - s.mean)
	s.at = now
	if s.mean > float64(strainedWait) {
		s.until = now.Add(strainedFor)
	}
	return now.Before(s.until)
}

// fill orders regular servers for those that are missing, the cheapest data centres first, where the cheap
// kind can't be had.
func fill(sites []Site, counts []Count, b Bounds, missing int) {
	if missing <= 0 || !slices.ContainsFunc(sites, func(s Site) bool { return s.CheapMissing }) {
		return
	}
	order := make([]int, len(sites))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int {
		switch {
		case sites[x].Price < sites[y].Price:
			return -1
		case sites[x].Price > sites[y].Price:
			return 1
		}
		return 0
	})
	for _, i := range order {
		s := sites[i]
		cheap := counts[i].Cheap
		if s.CheapMissing {
			cheap = s.Cheap
		}
		room := min(b.Max-cheap-counts[i].Regular, missing)
		if room <= 0 {
			continue
		}
		counts[i].Regular += room
		missing -= room
	}
}

func clamp(n, low, high int) int { return max(min(n, high), low) }

// RetryCheap is how often the cheap kind is asked for again where it couldn't be had: a call costs far less than the regular
// servers that stand in.
const RetryCheap = 2 * time.Second

// Resend returns when an order that isn't fulfilled is sent again: after the time in which its servers should serve.
func Resend(boot time.Duration) time.Duration { return 3 * boot / 2 }
