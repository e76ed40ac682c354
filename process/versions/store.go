// Package versions keeps the newest accepted configuration and keyrings of an instance. It never goes back to an older
// version.
//
// A few instances of each data centre, the watchers, watch the object API. The others receive new versions from their
// peers. A digest summarizes which versions an instance has. An instance that applies a version announces its digest to
// some peers, and each instance compares digests with a peer every ExchangeInterval. A digest includes the age of the
// versions: the time since they were known to be the newest in the object API. An instance whose age exceeds StaleAfter
// reads the object API itself, so a watcher that is cut off from the object API doesn't keep the others on old
// versions.
//
// During a network partition, an instance continues with the newest versions that it has. A data centre that reaches
// neither the platform nor an instance elsewhere doesn't receive withdrawals of keys until the partition ends; Age
// returns how long that has lasted. An instance that starts during an outage gets the versions from its peers. After a
// partition, the newest versions are in force within StaleAfter plus the time of one read.
//
// Lock order: applyMu, then mu. OnConfig and OnKeyring are called while applyMu is held, so they get versions in order.
package versions

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// WatchWait is the time for which a watch waits for an event. Each response, even one without an event, confirms that
	// the versions are the newest.
	WatchWait = time.Second
	// ExchangeInterval is the interval at which an instance compares digests with a peer.
	ExchangeInterval = 500 * time.Millisecond
	// DefaultStaleAfter lets a key withdrawal take effect within 5 s even if no watcher reaches the object API.
	DefaultStaleAfter = 3 * time.Second
	// WatchersPerDataCentre is the number of instances per data centre that watch the object API.
	WatchersPerDataCentre = 2
	// FanOut is the largest number of instances that compare digests with the same instance, their parent.
	FanOut = 12
	// retryDelay is the average delay before the next read of the object API after a failure or a read without a watch.
	retryDelay = 500 * time.Millisecond
	// HeadName is the name of the config object that refers to the newest configuration document.
	HeadName = "head"
)

// Store keeps the newest versions of the configuration and keyrings. Set the exported fields before Run.
type Store struct {
	Instance string
	Objects  platform.Store
	Log      *zap.Logger
	// StaleAfter is the age after which the instance reads the object API itself; 0 means DefaultStaleAfter.
	StaleAfter time.Duration
	// IsWatcher reports whether this instance watches the object API; nil means always.
	IsWatcher func() bool
	// OnConfig applies a configuration. If it returns an error, the configuration is rejected and the previous one stays
	// in force. It may be nil.
	OnConfig func(*wire.Config) error
	// OnKeyring applies a keyring; it may be nil.
	OnKeyring func(wire.KeyringObject)
	// Exchange sends the digest to a peer and returns the versions that this instance lacks. If peer is empty, it
	// selects a peer: usually the one at the rank that Parent returns, sometimes, and when that fails, a random one. It
	// may be nil.
	Exchange func(ctx context.Context, peer string, digest wire.VersionDigest) (wire.VersionOffer, error)
	// Announce sends a new digest to a few peers without blocking; it may be nil.
	Announce func(wire.VersionDigest)

	// newer reports whether a version is newer than the known one. Only tests replace it.
	newer func(known, version int) bool

	// applyMu is held while a version is applied, so that versions are applied in order.
	applyMu sync.Mutex
	mu      sync.Mutex
	// config is the configuration in force. Its version never decreases.
	config *wire.Config
	// document is config as it was stored, including fields that this version of the program doesn't know.
	document json.RawMessage
	// refusedVersion is the highest configuration version that OnConfig rejected.
	refusedVersion int
	// keyrings holds the keyrings in force by workspace. The object version of each never decreases.
	keyrings map[string]wire.KeyringObject
	// maxKeyringVersion is the highest object version in keyrings.
	maxKeyringVersion int
	// confirmedAt is the last time when the versions were known to be the newest; zero if they never were.
	confirmedAt time.Time
	// announcingPeers passes the name of a peer that announced newer versions to the exchange loop.
	announcingPeers chan string
	ready           chan struct{}
	initOnce        sync.Once
	readyOnce       sync.Once
}

func (s *Store) init() {
	s.initOnce.Do(func() {
		s.keyrings = map[string]wire.KeyringObject{}
		s.announcingPeers = make(chan string, 1)
		s.ready = make(chan struct{})
		if s.newer == nil {
			s.newer = func(known, version int) bool { return version > known }
		}
		if s.StaleAfter == 0 {
			s.StaleAfter = DefaultStaleAfter
		}
		if s.Log == nil {
			s.Log = zap.NewNop()
		}
	})
}

// Parent returns the rank of the instance with which the instance at the given rank compares digests. A rank is the
// position, from 0, of an instance in the order of the instances of its data centre. The instances with ranks below
// WatchersPerDataCentre watch the object API. The others form a tree below them, which keeps ages small while no
// instance serves more than FanOut others.
func Parent(rank int) int {
	if rank < WatchersPerDataCentre {
		return (rank + 1) % WatchersPerDataCentre
	}
	return (rank - WatchersPerDataCentre) / FanOut
}

// Ready returns a channel that is closed when the first configuration is in force.
func (s *Store) Ready() <-chan struct{} {
	s.init()
	return s.ready
}

// Config returns the configuration in force, or nil if there is none yet.
func (s *Store) Config() *wire.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// Age returns the time since the versions were last known to be the newest. It returns false if they never were.
func (s *Store) Age() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmedAt.IsZero() {
		return 0, false
	}
	return time.Since(s.confirmedAt), true
}

// Keyrings returns the object versions of the keyrings in force, sorted by workspace name.
func (s *Store) Keyrings() []wire.KeyringStatus {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]wire.KeyringStatus, 0, len(s.keyrings))
	for _, k := range s.keyrings {
		list = append(list, wire.KeyringStatus{Workspace: k.Workspace, Version: k.Version})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Workspace < list[j].Workspace })
	return list
}

// Digest returns the digest of the versions that this instance has.
func (s *Store) Digest() wire.VersionDigest {
	list := s.Keyrings()
	age, confirmed := s.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := wire.VersionDigest{Config: s.refusedVersion, KeyringsThrough: s.maxKeyringVersion, KeyringsHash: hashKeyrings(list), AgeMs: -1}
	if confirmed {
		digest.AgeMs = int(age.Milliseconds())
	}
	if s.config != nil {
		digest.Config = max(digest.Config, s.config.Version)
	}
	return digest
}

// hashKeyrings returns a hash of the workspaces and versions of the keyrings.
func hashKeyrings(list []wire.KeyringStatus) string {
	h := xxhash.New()
	for _, k := range list {
		_, _ = fmt.Fprintf(h, "%s %d\n", k.Workspace, k.Version)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// OfferFor returns the versions that a peer with the given digest lacks.
func (s *Store) OfferFor(digest wire.VersionDigest) wire.VersionOffer {
	own := s.Digest()
	offer := wire.VersionOffer{Digest: own}
	s.mu.Lock()
	defer s.mu.Unlock()
	if document := s.document; digest.Config < own.Config && len(document) > 0 {
		offer.Config = &document
	}
	if digest.KeyringsHash == own.KeyringsHash {
		return offer
	}
	fromVersion := digest.KeyringsThrough
	if fromVersion >= own.KeyringsThrough {
		fromVersion = -1
	}
	for _, k := range s.keyrings {
		if k.Version > fromVersion {
			offer.Keyrings = append(offer.Keyrings, k)
		}
	}
	return offer
}

// HandleDigest handles the digest that a peer announced. If this instance lacks one of its versions, Run requests it
// from the peer.
func (s *Store) HandleDigest(peer string, digest wire.VersionDigest) {
	own := s.Digest()
	if digest.Config <= own.Config && digest.KeyringsHash == own.KeyringsHash {
		return
	}
	select {
	case s.announcingPeers <- peer:
	default:
	}
}

// ApplyOffer applies the versions that a peer sent and ignores those that are older than the ones in force.
func (s *Store) ApplyOffer(offer wire.VersionOffer) { s.offer(offer, time.Now()) }

// offer applies the versions that a peer sent in response to a request made at the given time. It announces the digest
// of this instance if that changed its versions.
func (s *Store) offer(offer wire.VersionOffer, requestedAt time.Time) {
	changed := false
	for _, k := range offer.Keyrings {
		changed = s.ApplyKeyring(k) || changed
	}
	if offer.Config != nil {
		changed = s.ApplyConfig(*offer.Config) || changed
	}
	s.confirmFromPeer(offer.Digest, requestedAt)
	if changed {
		s.announce()
	}
}

// confirmFromPeer updates confirmedAt from the age in a peer's digest if this instance has all versions of the peer. It
// counts the age from the request, so that the time of the exchange doesn't make the versions look newer. The age is
// negative if the peer's versions were never known to be the newest.
func (s *Store) confirmFromPeer(peer wire.VersionDigest, requestedAt time.Time) {
	own := s.Digest()
	if peer.AgeMs < 0 || own.Config < peer.Config || own.KeyringsHash != peer.KeyringsHash {
		return
	}
	s.confirm(requestedAt.Add(-time.Duration(peer.AgeMs) * time.Millisecond))
}

// confirm records that the versions were known to be the newest at the given time. An earlier time than the recorded
// one is ignored.
func (s *Store) confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// announce sends the digest of this instance to a few peers.
func (s *Store) announce() {
	if s.Announce != nil {
		s.Announce(s.Digest())
	}
}

// ApplyConfig applies a stored configuration if it is newer than the one in force, and reports whether it did.
func (s *Store) ApplyConfig(document json.RawMessage) bool {
	s.init()
	var cfg wire.Config
	if err := json.Unmarshal(document, &cfg); err != nil {
		s.Log.Error("config_unreadable", zap.Error(err))
		return false
	}
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if !s.isNewer(cfg.Version) {
		return false
	}
	if s.OnConfig != nil {
		if err := s.OnConfig(&cfg); err != nil {
			s.refuseConfig(cfg.Version, err)
			return false
		}
	}
	s.mu.Lock()
	s.config = &cfg
	s.document = document
	s.mu.Unlock()
	s.readyOnce.Do(func() { close(s.ready) })
	s.Log.Info("config_in_force", zap.String("instance", s.Instance), zap.Int("version", cfg.Version))
	return true
}

// isNewer reports whether a configuration version is newer than the one in force and than any that OnConfig rejected.
func (s *Store) isNewer(version int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.refusedVersion {
		return false
	}
	return s.config == nil || s.newer(s.config.Version, version)
}

// refuseConfig records that OnConfig rejected the configuration version, so that it isn't tried again.
func (s *Store) refuseConfig(version int, err error) {
	s.mu.Lock()
	s.refusedVersion = version
	s.mu.Unlock()
	s.Log.Error("config_refused", zap.String("instance", s.Instance), zap.Int("version", version), zap.Error(err))
}

// ApplyKeyring applies a keyring if it is newer than the one in force for its workspace, and reports whether it did.
func (s *Store) ApplyKeyring(k wire.KeyringObject) bool {
	s.init()
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.mu.Lock()
	known := s.keyrings[k.Workspace].Version
	s.mu.Unlock()
	if !s.newer(known, k.Version) {
		return false
	}
	if s.OnKeyring != nil {
		s.OnKeyring(k)
	}
	s.mu.Lock()
	s.keyrings[k.Workspace] = k
	s.maxKeyringVersion = max(s.maxKeyringVersion, k.Version)
	s.mu.Unlock()
	s.Log.Info("keyring_in_force", zap.String("instance", s.Instance), zap.String("workspace", k.Workspace),
		zap.Int("version", k.Version), zap.Bool("deleted", k.Deleted))
	return true
}
