// Package mesh holds what forwarding instances know of each other. Each tells the others in datagrams that may be lost:
// that it lives, the version of its configuration, the load that it puts on the backend servers, and its newest counts.
//
// Nothing here is needed for safety. What is lost or late costs the quality of choices only.
package mesh

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/pause"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

// KindInstance is the kind of the objects that tell where instances take news.
const KindInstance = "toucanroute-instances"

const (
	// sendsPerSecond bounds the datagrams that an instance sends to all others together: at 15 µs each under half a
	// percent of a core. The interval between two news follows from it and from the number of instances.
	sendsPerSecond = 300
	// intervalLeast and intervalMost bound the time between two news.
	intervalLeast = 20 * time.Millisecond
	intervalMost  = time.Second
	// heartbeat is the time after which news are sent without a change.
	heartbeat = 100 * time.Millisecond
	// wholeEvery is how often all loads are told, which mends lost datagrams, and how often counts are.
	wholeEvery = time.Second
	countEvery = 500 * time.Millisecond
	// silentAfter is the number of heartbeats without news after which an instance counts as silent; a link that loses a
	// few in a hundred doesn't lose so many in a row.
	silentAfter = 4
	// forgottenAfter is the time after which a silent instance counts as gone. Its record is removed, and a little later it is
	// no longer told anything; it is learned again from its own news.
	forgottenAfter = 60 * time.Second
	// tryEvery is how often a silent instance is told something.
	tryEvery = time.Second
	// relistEvery is how often the store is asked for instances that nobody told of.
	relistEvery = 20 * time.Second
	// loadsPerDatagram keeps a datagram below the usual 1,400 bytes.
	loadsPerDatagram = 30
	// namesPerDatagram likewise.
	namesPerDatagram = 30
	// Readers is the number of instances of a data centre that read and write the store for the others there: one may be
	// lost without a gap.
	Readers = 2
)

// Mesh is an instance's part of the exchange. The exported fields are set before Execute.
type Mesh struct {
	Instance   string
	Run        string
	DataCentre string
	// Address is where this instance takes news.
	Address string
	Store   platform.Store
	Log     *zap.Logger
	Send    func(to netip.AddrPort, data []byte)
	// Cleans tells whether this instance removes the records of instances that are gone; nil is never.
	Cleans func() bool
	// About fills in what this instance knows: its versions, whether it leaves and whether it reaches the store.
	About func(*wire.News)
	// Loads returns this instance's load on each backend server that changed, or on all.
	Loads func(all bool) []wire.NewsLoad
	// Mix returns the work of the pools, and HeardMix takes another instance's; nil is none.
	Mix      func() []wire.NewsMix
	HeardMix func(instance string, mix []wire.NewsMix)
	// Counts returns the newest counts.
	Counts func() []wire.NewsWindow
	// Heard takes another instance's loads.
	Heard func(instance string, loads []wire.NewsLoad)
	// Learn takes what another instance knows.
	Learn func(wire.News)
	// Keep takes a copy of another run's counts.
	Keep func(run string, windows []wire.NewsWindow)
	// Doubt is called when all instances of a data centre have fallen silent while others are heard, Trust when one is
	// heard again.
	Doubt func(dataCentre string)
	Trust func(dataCentre string)

	mu    sync.Mutex
	peers map[string]*peer
	// doubted holds the data centres that were reported to Doubt.
	doubted map[string]bool
	changed chan struct{}
}

// peer is another instance.
type peer struct {
	run        string
	dataCentre string
	address    netip.AddrPort
	heard      time.Time
	told       time.Time
	known      time.Time
	leaving    bool
	storeOut   bool
	reads      bool
	// holds tells that the instance holds the duties.
	holds bool
	// outAt is when the instance last told that it can't reach the store.
	outAt time.Time
}

// gone tells whether the instance wasn't heard for that long and has been known for it.
func (p *peer) gone(now time.Time, after time.Duration) bool {
	return now.Sub(p.heard) > after && now.Sub(p.known) > after
}

// Changed lets the loads be told soon.
func (m *Mesh) Changed() {
	select {
	case m.wake() <- struct{}{}:
	default:
	}
}

func (m *Mesh) wake() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{}, 1)
	}
	return m.changed
}

// Execute tells news until ctx ends.
func (m *Mesh) Execute(ctx context.Context) {
	go m.discover(ctx)
	wake := m.wake()
	var whole, count, sent time.Time
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-wake:
			pause.For(ctx, m.interval()-time.Since(sent))
		case <-time.After(max(heartbeat, m.interval()) - time.Since(sent)):
		}
		now := time.Now()
		all := now.Sub(whole) >= wholeEvery
		if all {
			whole = now
		}
		m.tell(now, m.Loads(all), all)
		sent = now
		if now.Sub(count) >= countEvery {
			count = now
			m.tellCounts(now)
		}
		m.judge(now)
	}
}

// interval returns the least time between two news.
func (m *Mesh) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(max(time.Duration(len(m.peers))*time.Second/sendsPerSecond, intervalLeast), intervalMost)
}

func (m *Mesh) news() wire.News {
	news := wire.News{From: m.Instance, Run: m.Run, DataCentre: m.DataCentre, Address: m.Address}
	m.About(&news)
	return news
}

// tell sends the loads to all instances, and now and then the work of the pools; without loads it is a sign of life.
func (m *Mesh) tell(now time.Time, loads []wire.NewsLoad, all bool) {
	targets := m.targets(now)
	if len(targets) == 0 {
		return
	}
	news := m.news()
	if all && m.Mix != nil {
		news.Mix = m.Mix()
	}
	for first := true; first || len(loads) > 0; first = false {
		n := min(len(loads), loadsPerDatagram)
		news.Loads, loads = loads[:n], loads[n:]
		m.send(targets, news)
		news.Mix = nil
	}
}

func (m *Mesh) send(targets []netip.AddrPort, news wire.News) {
	data, err := json.Marshal(news)
	if err != nil {
		m.Log.Error("news_not_encoded", zap.Error(err))
		return
	}
	for _, to := range targets {
		m.Send(to, data)
	}
}

// targets returns the addresses to tell now; silent instances are tried seldom.
func (m *Mesh) targets(now time.Time) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(m.peers))
	for name, p := range m.peers {
		if now.Sub(p.heard) > m.silence() {
			if now.Sub(p.told) < tryEvery {
				continue
			}
			if p.gone(now, forgottenAfter+2*relistEvery) {
				delete(m.peers, name)
				continue
			}
		}
		p.told = now
		list = append(list, p.address)
	}
	return list
}

// silence returns the time after which an instance counts as silent; the lock is held.
func (m *Mesh) silence() time.Duration {
	interval := min(max(time.Duration(len(m.peers))*time.Second/sendsPerSecond, heartbeat), intervalMost)
	return silentAfter * interval
}

// tellCounts sends the newest counts to the instances that keep copies.
func (m *Mesh) tellCounts(now time.Time) {
	targets := m.keepers(now)
	windows := m.Counts()
	if len(targets) == 0 || len(windows) == 0 {
		return
	}
	news := m.news()
	for _, w := range windows {
		part := wire.NewsWindow{StartMs: w.StartMs, Counts: wire.NewsWindowCounts{}}
		for name, n := range w.Counts {
			part.Counts[name] = n
			if len(part.Counts) == namesPerDatagram {
				news.Counts = []wire.NewsWindow{part}
				m.send(targets, news)
				part.Counts = wire.NewsWindowCounts{}
			}
		}
		if len(part.Counts) > 0 {
			news.Counts = []wire.NewsWindow{part}
			m.send(targets, news)
		}
	}
}

// Take takes another instance's news.
func (m *Mesh) Take(data []byte) {
	var news wire.News
	if err := json.Unmarshal(data, &news); err != nil || news.From == "" || news.From == m.Instance {
		m.Log.Debug("news_rejected", zap.Error(err), zap.String("from", news.From))
		return
	}
	address, err := netip.ParseAddrPort(news.Address)
	if err != nil {
		m.Log.Debug("news_rejected", zap.Error(err), zap.String("from", news.From))
		return
	}
	m.note(news, address)
	m.Learn(news)
	if len(news.Loads) > 0 {
		m.Heard(news.From, news.Loads)
	}
	if len(news.Mix) > 0 && m.HeardMix != nil {
		m.HeardMix(news.From, news.Mix)
	}
	if len(news.Counts) > 0 {
		m.Keep(news.Run, news.Counts)
	}
}

// note takes in who told the news.
func (m *Mesh) note(news wire.News, address netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = map[string]*peer{}
	}
	p := m.peers[news.From]
	if p == nil {
		p = &peer{}
		m.peers[news.From] = p
	}
	if p.run != news.Run {
		m.Log.Info("peer_in", zap.String("peer", news.From), zap.String("run", news.Run), zap.String("data_centre", news.DataCentre))
	}
	p.run, p.dataCentre, p.address, p.leaving = news.Run, news.DataCentre, address, news.Leaving
	p.heard = time.Now()
	p.storeOut, p.reads, p.holds = news.StoreOut, news.Reads, news.Lease > 0
	if news.StoreOut {
		p.outAt = p.heard
	}
}

// judge reports the data centres whose instances have all fallen silent.
func (m *Mesh) judge(now time.Time) {
	m.mu.Lock()
	heard, once := map[string]bool{}, map[string]bool{}
	// An instance that is itself cut off loses all others within a heartbeat: it doubts nothing.
	connected := false
	for _, p := range m.peers {
		if p.heard.IsZero() {
			continue
		}
		once[p.dataCentre] = once[p.dataCentre] || now.Sub(p.heard) < forgottenAfter
		if now.Sub(p.heard) <= m.silence() {
			heard[p.dataCentre] = true
		}
		connected = connected || now.Sub(p.heard) <= m.silence()/2
	}
	if m.doubted == nil {
		m.doubted = map[string]bool{}
	}
	var doubt, trust []string
	for dc := range once {
		switch {
		case dc == m.DataCentre:
		case heard[dc] && m.doubted[dc]:
			delete(m.doubted, dc)
			trust = append(trust, dc)
		case !heard[dc] && connected && !m.doubted[dc]:
			m.doubted[dc] = true
			doubt = append(doubt, dc)
		}
	}
	m.mu.Unlock()
	for _, dc := range doubt {
		m.Log.Info("data_centre_silent", zap.String("data_centre", dc))
		m.Doubt(dc)
	}
	for _, dc := range trust {
		m.Log.Info("data_centre_heard", zap.String("data_centre", dc))
		m.Trust(dc)
	}
}
