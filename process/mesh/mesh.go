// Package mesh exchanges state between forwarding instances. Each instance sends datagrams (wire.News) to all others
// with the version of its configuration, its load on the backend servers and its recent request counts. A datagram also
// serves as a heartbeat: a peer is live while its datagrams arrive, and silent after it has missed several heartbeats.
//
// Only a few instances of each data centre, the readers, read and write the platform's store. The duties lease is the
// lease on the jobs that only one instance does at a time.
//
// Correctness doesn't depend on the delivery of datagrams. A lost or late one only makes routing decisions less
// accurate.
package mesh

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/sleep"
	"github.com/toucanroute/toucanroute/wire"
)

// KindInstance is the kind of the store objects that hold the instances' datagram addresses.
const KindInstance = "toucanroute-instances"

const (
	// maxSendsPerSecond limits the datagrams that an instance sends to all peers together. At 15 µs of CPU time each,
	// they take less than half a percent of a core. The interval between two rounds follows from this limit and the
	// number of instances.
	maxSendsPerSecond = 300
	// minInterval and maxInterval limit the time between two rounds of datagrams.
	minInterval = 20 * time.Millisecond
	maxInterval = time.Second
	// heartbeatInterval is the time after which a datagram is sent even if nothing changed.
	heartbeatInterval = 100 * time.Millisecond
	// fullLoadsInterval is the interval at which all loads are sent, which makes up for lost datagrams.
	fullLoadsInterval = time.Second
	// countsInterval is the interval at which request counts are sent.
	countsInterval = 500 * time.Millisecond
	// silentAfterHeartbeats is the number of missed heartbeats after which an instance counts as silent. A link that loses
	// a few percent of its datagrams doesn't lose that many in a row.
	silentAfterHeartbeats = 4
	// forgottenAfter is the time without datagrams after which an instance counts as gone. Its stored record is removed,
	// and after two more relist intervals nothing is sent to it any more. If it sends datagrams again, it is added again.
	forgottenAfter = 60 * time.Second
	// silentRetryInterval is the interval at which a datagram is sent to a silent instance.
	silentRetryInterval = time.Second
	// relistInterval is the interval at which the store is listed for instances that sent no datagram yet.
	relistInterval = 20 * time.Second
	// maxDatagramBytes is the size below which networks usually don't divide a datagram.
	maxDatagramBytes = 1400
	// listBytes is the size of a list in a datagram without its items: its name and the punctuation.
	listBytes = 16
	// loadsPerDatagram is the largest number of servers whose loads are sent in one datagram.
	loadsPerDatagram = 30
	// workspacesPerDatagram is the largest number of workspaces whose request counts are sent in one datagram. It keeps
	// the datagram below the same size.
	workspacesPerDatagram = 30
	// ReadersPerDataCentre is the number of instances per data centre that read and write the store for the other
	// instances there. With two, the loss of one causes no interruption.
	ReadersPerDataCentre = 2
)

// Mesh sends the state of this instance to its peers and handles their datagrams. Set the exported fields before
// Execute.
type Mesh struct {
	Instance string
	// Run identifies this process. A restarted instance has a new one.
	Run        string
	DataCentre string
	// Address is the address at which this instance receives datagrams.
	Address string
	Store   platform.Store
	Log     *zap.Logger
	// Send sends one datagram.
	Send func(to netip.AddrPort, data []byte)
	// RemovesRecords reports whether this instance removes the stored records of instances that are gone; nil means never.
	RemovesRecords func() bool
	// FillStatus fills in the state of this instance: its versions, whether it is shutting down and whether it reaches the
	// store.
	FillStatus func(*wire.News)
	// LocalLoads returns this instance's load on the backend servers: on all of them, or only on those where it changed.
	LocalLoads func(all bool) []wire.NewsLoad
	// LocalMix returns the token rates that this instance's requests bring to each pool; it may be nil.
	LocalMix func() []wire.NewsMix
	// OnPeerMix is called with the token rates of another instance, as its LocalMix returned them; it may be nil.
	OnPeerMix func(instance string, mix []wire.NewsMix)
	// LocalCounts returns this instance's request counts in the newest time windows.
	LocalCounts func() []wire.NewsWindow
	// OnPeerLoads is called with the loads of another instance on the backend servers.
	OnPeerLoads func(instance string, loads []wire.NewsLoad)
	// OnPeerStatus is called with each valid datagram of another instance.
	OnPeerStatus func(wire.News)
	// OnPeerStreams is called with the streams that began at another instance; it may be nil.
	OnPeerStreams func([]wire.NewsStream)
	// OnPeerCounts is called with the request counts of another instance's process run.
	OnPeerCounts func(run string, windows []wire.NewsWindow)
	// OnDataCentreUnreachable is called when all instances of a data centre have become silent while other peers are still
	// live.
	OnDataCentreUnreachable func(dataCentre string)
	// OnDataCentreReachable is called when an instance of a data centre that was reported as unreachable sends datagrams
	// again.
	OnDataCentreReachable func(dataCentre string)

	mu sync.Mutex
	// peers holds the other instances by name.
	peers map[string]*peer
	// listed is set once the instances were read from the store.
	listed bool
	// firstRun is set if no process of the deployment ran before this one and those that started with it. It holds once
	// listed is set.
	firstRun bool
	// forgotten is set if an instance that didn't tell that it leaves was deleted from peers since the instances were last
	// read from the store.
	forgotten bool
	// unreachable holds the data centres for which OnDataCentreUnreachable was called last.
	unreachable map[string]bool
	// wakeSend wakes Execute to send changed loads.
	wakeSend chan struct{}
}

// peer holds the state of another instance.
type peer struct {
	run        string
	dataCentre string
	address    netip.AddrPort
	// received is the time of the last datagram from the instance; zero if there was none.
	received time.Time
	// sent is the time of the last datagram to the instance.
	sent time.Time
	// discoveredAt is the time when the instance was found in the store; zero if it became known by a datagram.
	discoveredAt time.Time
	// leaving is set while the instance is shutting down.
	leaving bool
	// storeUnreachable is set while the instance can't reach the store.
	storeUnreachable bool
	// unreachable holds the pools of which the instance reaches no backend server.
	unreachable []string
	// isReader is set while the instance reads the store for its data centre.
	isReader bool
	// servers is the version of the list of backend servers that the instance reported last.
	servers int
	// config is the version of the configuration that the instance reported last.
	config int
	// holdsLease is set while the instance holds the duties lease.
	holdsLease bool
	// storeUnreachableAt is the time of the last datagram in which the instance reported that it can't reach the store.
	storeUnreachableAt time.Time
	// storeUnreachableSince is the time of the first one of the last uninterrupted series of such datagrams.
	storeUnreachableSince time.Time
	// readsSince is the time since which all datagrams told that the instance reads the store and reaches it; zero if the last
	// one didn't.
	readsSince time.Time
}

// isGone reports whether the instance sent no datagram within the last minSilence and wasn't found in the store within
// that time either.
func (p *peer) isGone(now time.Time, minSilence time.Duration) bool {
	return now.Sub(p.received) > minSilence && now.Sub(p.discoveredAt) > minSilence
}

// NotifyLoadChanged wakes Execute to send the changed loads as soon as the send rate allows.
func (m *Mesh) NotifyLoadChanged() {
	select {
	case m.wake() <- struct{}{}:
	default:
	}
}

// wake returns the channel that wakes Execute and creates it if needed.
func (m *Mesh) wake() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.wakeSend == nil {
		m.wakeSend = make(chan struct{}, 1)
	}
	return m.wakeSend
}

// Execute sends datagrams to all peers until ctx is done.
func (m *Mesh) Execute(ctx context.Context) {
	go m.discover(ctx)
	wake := m.wake()
	var lastFullLoads, lastCounts, lastSent time.Time
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-wake:
			sleep.For(ctx, m.interval()-time.Since(lastSent))
		case <-time.After(max(heartbeatInterval, m.interval()) - time.Since(lastSent)):
		}
		now := time.Now()
		sendAll := now.Sub(lastFullLoads) >= fullLoadsInterval
		if sendAll {
			lastFullLoads = now
		}
		m.sendStatus(now, m.LocalLoads(sendAll), sendAll)
		lastSent = now
		if now.Sub(lastCounts) >= countsInterval {
			lastCounts = now
			m.sendCounts(now)
		}
		m.checkDataCentres(now)
	}
}

// interval returns the minimum time between two rounds of datagrams.
func (m *Mesh) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(max(time.Duration(len(m.peers))*time.Second/maxSendsPerSecond, minInterval), maxInterval)
}

// datagram returns a datagram with the status of this instance, without loads and counts.
func (m *Mesh) datagram() wire.News {
	var datagram wire.News
	m.sign(&datagram)
	return datagram
}

// sign adds the sender and the status of this instance to a datagram.
func (m *Mesh) sign(datagram *wire.News) {
	datagram.From, datagram.Run, datagram.DataCentre, datagram.Address = m.Instance, m.Run, m.DataCentre, m.Address
	m.FillStatus(datagram)
}

// sendStatus sends the status and the loads of this instance to all peers. With withMix, it also sends the token rates
// per pool, apart from the loads. It sends at least one datagram, as a heartbeat.
func (m *Mesh) sendStatus(now time.Time, loads []wire.NewsLoad, withMix bool) {
	targets := m.targets(now)
	if len(targets) == 0 {
		return
	}
	datagram := m.datagram()
	var mix []wire.NewsMix
	if withMix && m.LocalMix != nil {
		mix = m.LocalMix()
	}
	if !withMix {
		// The newest reported window changes seldom and is sent with the token rates.
		datagram.ReportedMs = 0
	}
	room := maxDatagramBytes - encodedSize(datagram) - listBytes
	heartbeat := len(mix) == 0
	for len(mix) > 0 {
		n := fitting(mix, len(mix), room)
		datagram.Mix, mix = mix[:n], mix[n:]
		m.send(targets, datagram)
	}
	datagram.Mix = nil
	for ; heartbeat || len(loads) > 0; heartbeat = false {
		n := fitting(loads, loadsPerDatagram, room)
		datagram.Loads, loads = loads[:n], loads[n:]
		m.sendLoads(targets, datagram)
	}
}

// encodedSize returns the size of a value in a datagram, in bytes.
func encodedSize(v any) int {
	data, _ := json.Marshal(v)
	return len(data)
}

// fitting returns how many of the items, at most limit, fit into a number of bytes: at least one if there are any.
func fitting[T any](items []T, limit, room int) int {
	n := 0
	for n < min(len(items), limit) {
		if room -= encodedSize(items[n]) + 1; room < 0 && n > 0 {
			break
		}
		n++
	}
	return n
}

// sendLoads sends a datagram with loads. Work times are of use for less than a second and go to the instances of the own
// data centre only.
func (m *Mesh) sendLoads(targets []netip.AddrPort, datagram wire.News) {
	if !slices.ContainsFunc(datagram.Loads, func(l wire.NewsLoad) bool { return l.W > 0 }) {
		m.send(targets, datagram)
		return
	}
	near := m.nearAddresses()
	far := slices.DeleteFunc(slices.Clone(targets), func(to netip.AddrPort) bool { return near[to] })
	m.send(slices.DeleteFunc(slices.Clone(targets), func(to netip.AddrPort) bool { return !near[to] }), datagram)
	datagram.Loads = slices.Clone(datagram.Loads)
	for i := range datagram.Loads {
		datagram.Loads[i].W = 0
	}
	m.send(far, datagram)
}

// nearAddresses returns the addresses of the other instances of the own data centre.
func (m *Mesh) nearAddresses() map[netip.AddrPort]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	near := map[netip.AddrPort]bool{}
	for _, p := range m.peers {
		if p.dataCentre == m.DataCentre {
			near[p.address] = true
		}
	}
	return near
}

func (m *Mesh) send(targets []netip.AddrPort, datagram wire.News) {
	data, err := json.Marshal(datagram)
	if err != nil {
		m.Log.Error("news_not_encoded", zap.Error(err))
		return
	}
	for _, to := range targets {
		m.Send(to, data)
	}
}

// targets returns the addresses to send to now. A silent instance is included only once per silentRetryInterval.
// It deletes instances that have been gone for two more relist intervals.
func (m *Mesh) targets(now time.Time) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(m.peers))
	for name, p := range m.peers {
		if now.Sub(p.received) > m.silenceTimeout() {
			if now.Sub(p.sent) < silentRetryInterval {
				continue
			}
			if p.isGone(now, forgottenAfter+2*relistInterval) {
				m.forgotten = m.forgotten || !p.leaving
				delete(m.peers, name)
				continue
			}
		}
		p.sent = now
		list = append(list, p.address)
	}
	return list
}

// silenceTimeout returns the time without datagrams after which an instance counts as silent. The caller holds mu.
func (m *Mesh) silenceTimeout() time.Duration {
	interval := min(max(time.Duration(len(m.peers))*time.Second/maxSendsPerSecond, heartbeatInterval), maxInterval)
	return silentAfterHeartbeats * interval
}

// sendCounts sends the newest request counts to the instances that store copies.
func (m *Mesh) sendCounts(now time.Time) {
	targets := m.countKeeperAddrs(now)
	windows := m.LocalCounts()
	if len(targets) == 0 || len(windows) == 0 {
		return
	}
	datagram := m.datagram()
	for _, w := range windows {
		batch := wire.NewsWindow{StartMs: w.StartMs, Counts: wire.NewsWindowCounts{}}
		for workspace, n := range w.Counts {
			batch.Counts[workspace] = n
			if len(batch.Counts) == workspacesPerDatagram {
				datagram.Counts = []wire.NewsWindow{batch}
				m.send(targets, datagram)
				batch.Counts = wire.NewsWindowCounts{}
			}
		}
		if len(batch.Counts) > 0 {
			datagram.Counts = []wire.NewsWindow{batch}
			m.send(targets, datagram)
		}
	}
}

// Receive handles a datagram from another instance.
func (m *Mesh) Receive(data []byte) {
	var datagram wire.News
	if err := json.Unmarshal(data, &datagram); err != nil || datagram.From == "" || datagram.From == m.Instance {
		m.Log.Debug("news_rejected", zap.Error(err), zap.String("from", datagram.From))
		return
	}
	address, err := netip.ParseAddrPort(datagram.Address)
	if err != nil {
		m.Log.Debug("news_rejected", zap.Error(err), zap.String("from", datagram.From))
		return
	}
	m.updatePeer(datagram, address)
	m.OnPeerStatus(datagram)
	if len(datagram.Loads) > 0 {
		m.OnPeerLoads(datagram.From, datagram.Loads)
	}
	if len(datagram.Mix) > 0 && m.OnPeerMix != nil {
		m.OnPeerMix(datagram.From, datagram.Mix)
	}
	if len(datagram.Streams) > 0 && m.OnPeerStreams != nil {
		m.OnPeerStreams(datagram.Streams)
	}
	if len(datagram.Counts) > 0 {
		m.OnPeerCounts(datagram.Run, datagram.Counts)
	}
}

// updatePeer updates the state of the peer that sent the datagram.
func (m *Mesh) updatePeer(datagram wire.News, address netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = map[string]*peer{}
	}
	p := m.peers[datagram.From]
	if p == nil {
		p = &peer{}
		m.peers[datagram.From] = p
	}
	if p.run != datagram.Run {
		m.Log.Info("peer_in", zap.String("peer", datagram.From), zap.String("run", datagram.Run), zap.String("data_centre", datagram.DataCentre))
	}
	p.run, p.dataCentre, p.address, p.leaving = datagram.Run, datagram.DataCentre, address, datagram.Leaving
	p.received = time.Now()
	p.config, p.servers, p.unreachable = datagram.Version, datagram.Servers, datagram.Unreachable
	p.observeStore(datagram)
	p.storeUnreachable, p.isReader, p.holdsLease = datagram.StoreOut, datagram.Reads, datagram.Lease > 0
}

// checkDataCentres calls OnDataCentreUnreachable for data centres whose instances have all become silent, and
// OnDataCentreReachable for those with a live instance again.
func (m *Mesh) checkDataCentres(now time.Time) {
	m.mu.Lock()
	// received marks the data centres with a live instance, recentlyKnown those that sent a datagram within
	// forgottenAfter.
	received, recentlyKnown := map[string]bool{}, map[string]bool{}
	// An instance that is itself cut off from the network loses all peers within one heartbeat and must not report any
	// data centre. connected is set if some peer sent a datagram within half of the silence timeout.
	connected := false
	for _, p := range m.peers {
		if p.received.IsZero() {
			continue
		}
		recentlyKnown[p.dataCentre] = recentlyKnown[p.dataCentre] || now.Sub(p.received) < forgottenAfter
		if now.Sub(p.received) <= m.silenceTimeout() {
			received[p.dataCentre] = true
		}
		connected = connected || now.Sub(p.received) <= m.silenceTimeout()/2
	}
	if m.unreachable == nil {
		m.unreachable = map[string]bool{}
	}
	var newlyUnreachable, newlyReachable []string
	for dc := range recentlyKnown {
		switch {
		case dc == m.DataCentre:
		case received[dc] && m.unreachable[dc]:
			delete(m.unreachable, dc)
			newlyReachable = append(newlyReachable, dc)
		case !received[dc] && connected && !m.unreachable[dc]:
			m.unreachable[dc] = true
			newlyUnreachable = append(newlyUnreachable, dc)
		}
	}
	m.mu.Unlock()
	for _, dc := range newlyUnreachable {
		m.Log.Info("data_centre_silent", zap.String("data_centre", dc))
		m.OnDataCentreUnreachable(dc)
	}
	for _, dc := range newlyReachable {
		m.Log.Info("data_centre_heard", zap.String("data_centre", dc))
		m.OnDataCentreReachable(dc)
	}
}
