package quarantine

import (
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// confirmDelay is the time after which it is checked whether a server has crashed. Requests that were lost together are
	// then known.
	confirmDelay = 20 * time.Millisecond
	// maxUnconfirmed bounds the number of servers that are checked at the same time.
	maxUnconfirmed = 256
	// maxSentParts bounds the parts that are kept of the requests at one server until the check.
	maxSentParts = 1024
	// crashRepeatTime is the time for which a crash is told again to the other instances, since datagrams may get lost.
	crashRepeatTime = 3 * time.Second
)

// SentRequest is a request that was sent to a backend server.
type SentRequest struct {
	// Server identifies the start of the server, and Address is where it accepts connections.
	Server, Address string
	// Pool is the name of the server's pool.
	Pool string
	// Parts are the ids of the parts of the prompt.
	Parts []string
}

// unconfirmed holds the keys of the parts of the requests whose connections a server ended.
type unconfirmed struct {
	// lost is the number of requests that were lost.
	lost int
	// parts holds all keys; those of answers that look complete are set to true.
	parts map[string]bool
}

// ReportLost records a request whose connection the server closed before it had sent much of an answer. If the server
// then refuses connections it has crashed, and the parts of the prompt are suspected here and at the other instances.
func (t *Table) ReportLost(r SentRequest) { t.check(r, false) }

// ReportUnproven records a request whose answer ended with its connection. If the server still accepts connections, the
// request counts as answered, otherwise as lost.
func (t *Table) ReportUnproven(r SentRequest) { t.check(r, true) }

// check has it checked whether the server has crashed.
func (t *Table) check(r SentRequest, looksComplete bool) {
	if len(r.Parts) == 0 {
		return
	}
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
		u = &unconfirmed{parts: map[string]bool{}}
		t.unconfirmed[r.Server] = u
		time.AfterFunc(confirmDelay, func() { t.confirm(r.Server, r.Address, r.Pool) })
	}
	if !looksComplete {
		u.lost++
	}
	for _, id := range r.Parts {
		key := partKey(id)
		if _, known := u.parts[key]; known || len(u.parts) < maxSentParts {
			u.parts[key] = u.parts[key] || looksComplete
		}
	}
}

// confirm checks whether a server that ended connections has crashed.
func (t *Table) confirm(server, address, pool string) {
	err := t.Probe(address)
	t.mu.Lock()
	u := t.unconfirmed[server]
	delete(t.unconfirmed, server)
	t.mu.Unlock()
	switch {
	case err == nil:
		maps.DeleteFunc(u.parts, func(_ string, looksComplete bool) bool { return !looksComplete })
		t.RecordAnswered(slices.Collect(maps.Keys(u.parts)))
	case errors.Is(err, syscall.ECONNREFUSED):
		t.Log.Info("server_crashed", zap.String("server", server), zap.String("pool", pool), zap.Int("requests", u.lost), zap.Int("parts", len(u.parts)))
		t.reportCrash(Crash{Server: server, Pool: pool, At: time.Now(), Parts: slices.Sorted(maps.Keys(u.parts))})
	}
}

// reportCrash records a crash that this instance has seen, and tells the other instances.
func (t *Table) reportCrash(c Crash) {
	t.mu.Lock()
	t.init()
	t.ownCrashes = append(slices.DeleteFunc(t.ownCrashes, isOld), c)
	update := t.updateOf(t.addCrash(c))
	t.mu.Unlock()
	update.Crashes = []Crash{c}
	t.notify(update)
}

// isOld reports whether a crash isn't told to other instances any more.
func isOld(c Crash) bool { return time.Since(c.At) > crashRepeatTime }
