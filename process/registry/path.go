package registry

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// pathWindow is the time within which requests to two servers must get nothing for the path of this instance to be
	// tested. Requests that get nothing are noticed after a second at most.
	pathWindow = 2 * time.Second
	// askedServers is the number of servers that are asked at once in a test of the path.
	askedServers = 3
	// newsTime is the time within which another instance tells that a server has answered it, and newsWait how long a test
	// waits for such news.
	newsTime, newsWait = 150 * time.Millisecond, 600 * time.Millisecond
	// maxAskDelay is the longest time between two tests of a path that was found broken.
	maxAskDelay = 3200 * time.Millisecond
)

// path is what the registry knows of this instance's path to the servers.
//
// It answers a path that opens connections and carries nothing, such as a proxy or a firewall in between whose far side is
// gone: connections don't show the fault, and each request is lost. Requests of this instance to two servers get nothing,
// nothing comes from any other one, and the servers answer other instances: then some are asked, and if no answer comes, all
// count as unreachable until they answer, so that other instances serve the requests. One server that answers nothing, and
// servers that answer nobody, aren't a fault of the path.
type path struct {
	// failures holds the times at which requests got nothing, by the id of the server.
	failures map[string]time.Time
	// testing is set while servers are asked, and broken until the last server that counts as unreachable for it has
	// answered.
	testing, broken bool
}

// markHeard records that the server has sent something to this instance. The caller holds mu.
func (srv *Server) markHeard(now time.Time) {
	srv.endPause(now)
	srv.heardHere = now
}

// markHeardElsewhere records that the server has sent something to another instance. The caller holds mu.
func (srv *Server) markHeardElsewhere(now time.Time) {
	srv.endPause(now)
	srv.heardElsewhere = now
}

// endPause records a sign of life. The caller holds mu.
func (srv *Server) endPause(now time.Time) {
	if srv.suspect {
		srv.longestPause = max(srv.longestPause, now.Sub(srv.lastReceived))
	}
	srv.lastReceived = now
}

// noteUnanswered has the registry note that the request has got nothing from the server, unless something came to another
// one meanwhile. The caller holds the server's mu.
func (a *Attempt) noteUnanswered() {
	if a.srv.onUnanswered != nil && a.srv.heardHere.Before(a.startedAt) {
		go a.srv.onUnanswered(a.srv.entry.ID, a.startedAt)
	}
}

// lastHeard returns the time at which any server has last sent something to this instance, and that at which any has sent
// something to another one. The caller holds mu.
func (r *Registry) lastHeard() (here, elsewhere time.Time) {
	for _, srv := range r.servers {
		srv.mu.Lock()
		if srv.heardHere.After(here) {
			here = srv.heardHere
		}
		if srv.heardElsewhere.After(elsewhere) {
			elsewhere = srv.heardElsewhere
		}
		srv.mu.Unlock()
	}
	return here, elsewhere
}

// noteUnanswered records that a request, which began at some time, has got nothing from the server, and has the path tested
// if it is the second server.
func (r *Registry) noteUnanswered(id string, beganAt time.Time) {
	if r.Ask == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	here, elsewhere := r.lastHeard()
	if here.After(beganAt) || r.path.testing || r.path.broken {
		return
	}
	if r.path.failures == nil {
		r.path.failures = map[string]time.Time{}
	}
	r.path.failures[id] = now
	for other, at := range r.path.failures {
		if now.Sub(at) > pathWindow || here.After(at) {
			delete(r.path.failures, other)
		}
	}
	if len(r.path.failures) < 2 || now.Sub(elsewhere) > pathWindow {
		return
	}
	r.path.testing = true
	go r.testPath(now)
}

// testPath asks some servers. If none answers, and nothing comes from another one meanwhile, all that have sent nothing
// count as unreachable, provided that they answer other instances meanwhile.
func (r *Registry) testPath(startedAt time.Time) {
	answered := r.askAny(r.randomServers(askedServers, func(*Server) bool { return true }))
	isBroken := !answered && r.awaitNews(startedAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.path.testing, r.path.failures = false, nil
	here, _ := r.lastHeard()
	if !isBroken || here.After(startedAt) {
		return
	}
	n := 0
	for _, srv := range r.servers {
		srv.mu.Lock()
		srv.unanswered = true
		srv.markSuspect()
		srv.mu.Unlock()
		n++
	}
	r.path.broken = true
	r.Log.Warn("path_broken", zap.Int("servers", n), zap.Time("heard", here))
	time.AfterFunc(minProbeDelay, func() { r.retryPath(minProbeDelay) })
}

// awaitNews reports whether servers have answered other instances since a time while none has answered this one. It waits
// for the news if needed: servers that have just crashed answered others until then.
func (r *Registry) awaitNews(since time.Time) bool {
	for deadline := since.Add(newsWait); ; time.Sleep(newsTime / 3) {
		r.mu.Lock()
		here, elsewhere := r.lastHeard()
		r.mu.Unlock()
		if here.After(since) || time.Now().After(deadline) {
			return false
		}
		if elsewhere.After(since.Add(newsTime)) {
			return true
		}
	}
}

// retryPath asks one of the servers that count as unreachable because of the path, and all of them once that one answers.
func (r *Registry) retryPath(delay time.Duration) {
	isUnanswered := func(srv *Server) bool { return srv.unanswered }
	servers := r.randomServers(1, isUnanswered)
	if len(servers) > 0 && r.askAny(servers) {
		r.askAll(r.randomServers(-1, isUnanswered))
	}
	if len(r.randomServers(1, isUnanswered)) == 0 {
		r.mu.Lock()
		r.path.broken = false
		r.mu.Unlock()
		r.Log.Info("path_repaired")
		return
	}
	delay = min(2*delay, maxAskDelay)
	time.AfterFunc(delay, func() { r.retryPath(delay) })
}

// randomServers returns up to n of the servers for which f holds and whose data centre isn't evacuated, in random order; all
// if n is negative. The function f is called with the server's lock held.
func (r *Registry) randomServers(n int, f func(*Server) bool) []*Server {
	var list []*Server
	r.mu.Lock()
	evacuated := r.evacuated
	r.mu.Unlock()
	for _, srv := range r.Servers() {
		srv.mu.Lock()
		if !evacuated[srv.entry.DataCentre] && f(srv) {
			list = append(list, srv)
		}
		srv.mu.Unlock()
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if n >= 0 && len(list) > n {
		list = list[:n]
	}
	return list
}

// askAny asks servers at the same time and reports whether one answered, as soon as it has.
func (r *Registry) askAny(servers []*Server) bool {
	answers := make(chan bool, len(servers))
	for _, srv := range servers {
		go func() { answers <- r.ask(srv) }()
	}
	for range servers {
		if <-answers {
			return true
		}
	}
	return false
}

// askAll asks servers at the same time and waits until each has answered or not.
func (r *Registry) askAll(servers []*Server) {
	var wg sync.WaitGroup
	for _, srv := range servers {
		wg.Go(func() { r.ask(srv) })
	}
	wg.Wait()
}

// ask asks a server and reports whether it answered, after which it counts as reachable.
func (r *Registry) ask(srv *Server) bool {
	entry := srv.Entry()
	cold, err := r.Ask(entry.Pool, entry.Address)
	if err != nil {
		return false
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.markHeard(time.Now())
	srv.clearSuspect()
	if cold > 0 {
		srv.stateCold(cold)
	}
	return true
}
