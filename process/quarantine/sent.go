package quarantine

import (
	"errors"
	"io"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// beginTime is the time after the beginning of an answer within which its prompt may be the cause of a crash. Servers
	// crash when they begin to answer.
	beginTime = 500 * time.Millisecond
	// confirmDelay is the time after which it is checked whether a server has crashed. Requests that were lost together are
	// then known.
	confirmDelay = 20 * time.Millisecond
	// confirmInterval is the interval at which the check is repeated while no server can be reached, and maxConfirmTime the
	// time for which it is.
	confirmInterval, maxConfirmTime = 400 * time.Millisecond, 10 * time.Second
	// witnesses is the number of other servers to which a connection is tried, to see whether any can be reached.
	witnesses = 3
	// maxUnconfirmed bounds the number of servers that are checked at the same time.
	maxUnconfirmed = 256
	// maxSentParts bounds the parts that are kept of the requests at one server until the check.
	maxSentParts = 1024
	// crashRepeatTime is the time for which a crash is told again to the other instances, since datagrams may get lost.
	crashRepeatTime = 3 * time.Second
	// provenReportDelay is the time after a crash after which the other instances are told of parts that were answered
	// lately before it, and not since.
	provenReportDelay = 300 * time.Millisecond
)

// SentRequest is a request that was sent to a backend server.
type SentRequest struct {
	// Server identifies the start of the server, and Address is where it accepts connections.
	Server, Address string
	// Pool is the name of the server's pool.
	Pool string
	Request
}

// IsSuspect reports whether a request that failed with err may have crashed its server: the server closed or reset the
// connection, and its answer had not begun or only just. beganAt is zero if it had not begun.
func IsSuspect(err error, beganAt time.Time) bool {
	closed := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	return closed && (beganAt.IsZero() || time.Since(beganAt) <= beginTime)
}

// unconfirmed holds the parts of the requests whose connections a server ended.
type unconfirmed struct {
	// lost is the number of requests that were lost, the first of them at lostAt.
	lost   int
	lostAt time.Time
	// parts holds what is known of each part by its key.
	parts map[string]sentPart
}

// sentPart describes a part of the requests whose connections a server ended.
type sentPart struct {
	// answered is set if an answer to a prompt with the part looks complete.
	answered bool
	// shared is set unless this is the last part of a prompt, which is its own.
	shared bool
}

// ReportLost records a request whose connection the server closed before it had sent much of an answer. If the server
// then refuses connections while others accept them it has crashed, and the request and the parts of its prompt are
// suspected here and at the other instances.
func (t *Table) ReportLost(r SentRequest) { t.check(r, false) }

// ReportUnproven records a request whose answer ended with its connection. If the server still accepts connections, the
// request counts as answered, otherwise as lost.
func (t *Table) ReportUnproven(r SentRequest) { t.check(r, true) }

// check has it checked whether the server has crashed.
func (t *Table) check(r SentRequest, looksComplete bool) {
	keys := r.keys()
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.unconfirmed[r.Server]
	if u == nil {
		if len(t.unconfirmed) >= maxUnconfirmed {
			return
		}
		if t.unconfirmed == nil {
			t.unconfirmed = map[string]*unconfirmed{}
		}
		u = &unconfirmed{lostAt: time.Now(), parts: map[string]sentPart{}}
		t.unconfirmed[r.Server] = u
		time.AfterFunc(confirmDelay, func() { t.confirm(r.Server, r.Address, r.Pool) })
	}
	if !looksComplete {
		u.lost++
	}
	own := ""
	if n := len(r.Parts); n > 0 && !slices.Contains(r.Parts[:n-1], r.Parts[n-1]) {
		own = partKey(r.Parts[n-1])
	}
	for _, key := range keys {
		part, known := u.parts[key]
		if known || len(u.parts) < maxSentParts {
			u.parts[key] = sentPart{answered: part.answered || looksComplete, shared: part.shared || key != own}
		}
	}
}

// confirm checks whether a server that ended connections has crashed.
func (t *Table) confirm(server, address, pool string) {
	err := t.Probe(address)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	isCutOff := refused && !t.reachesOthers(address)
	t.mu.Lock()
	u := t.unconfirmed[server]
	if isCutOff && time.Since(u.lostAt) < maxConfirmTime {
		t.mu.Unlock()
		time.AfterFunc(confirmInterval, func() { t.confirm(server, address, pool) })
		return
	}
	delete(t.unconfirmed, server)
	t.mu.Unlock()
	var all, shared, answered []string
	for key, part := range u.parts {
		all = append(all, key)
		if part.shared {
			shared = append(shared, key)
		}
		if part.answered {
			answered = append(answered, key)
		}
	}
	switch {
	case err == nil:
		t.recordAnswered(answered)
	case isCutOff:
		t.Log.Info("crash_not_confirmed", zap.String("server", server), zap.String("pool", pool), zap.Int("requests", u.lost), zap.Duration("waited", time.Since(u.lostAt)))
	case refused:
		t.Log.Info("server_crashed", zap.String("server", server), zap.String("pool", pool), zap.Int("requests", u.lost), zap.Int("parts", len(all)))
		slices.Sort(all)
		t.reportCrash(Crash{Server: server, Pool: pool, At: u.lostAt, Parts: all}, shared)
	}
}

// reachesOthers reports whether one of the other servers accepts a connection, or there are none. If all refuse, this
// instance may be partitioned from them, and no refusal shows that a server has crashed.
func (t *Table) reachesOthers(address string) bool {
	if t.OtherServers == nil {
		return true
	}
	others := t.OtherServers(address, witnesses)
	for _, other := range others {
		if t.Probe(other) == nil {
			return true
		}
	}
	return len(others) == 0
}

// reportCrash records a crash that this instance has seen, and tells the other instances of the shared parts. Parts that
// were answered lately are told only if they aren't answered soon again: most of them are in many prompts.
func (t *Table) reportCrash(c Crash, shared []string) {
	t.mu.Lock()
	t.init()
	var proven, urgent []string
	for _, key := range shared {
		if t.isProven(key) {
			proven = append(proven, key)
		} else {
			urgent = append(urgent, key)
		}
	}
	changed := t.addCrash(c)
	update := t.tell(c, urgent, changed)
	t.mu.Unlock()
	t.notify(update)
	if len(proven) == 0 {
		return
	}
	time.AfterFunc(provenReportDelay, func() {
		t.mu.Lock()
		unanswered := slices.DeleteFunc(proven, func(key string) bool {
			s, ok := t.suspicions(key).Peek(key)
			return !ok || s.crashes[c.Server].IsZero()
		})
		update := t.tell(c, unanswered, nil)
		t.mu.Unlock()
		t.notify(update)
	})
}

// tell returns an update with some parts of a crash, which is also repeated, and with changed quarantines. The caller
// holds mu.
func (t *Table) tell(c Crash, parts []string, changed []*entry) Update {
	update := t.updateOf(changed)
	if len(parts) == 0 {
		return update
	}
	c.Parts = slices.Sorted(slices.Values(parts))
	t.ownCrashes = append(slices.DeleteFunc(t.ownCrashes, isOld), c)
	t.markTold(parts)
	update.Crashes = []Crash{c}
	return update
}

// isOld reports whether a crash isn't told to other instances any more.
func isOld(c Crash) bool { return time.Since(c.At) > crashRepeatTime }
