// Package versions holds the newest accepted configuration and keyrings of an instance, and never steps back.
//
// A few instances of a data centre watch the object API; the others learn of new versions from peers: whoever takes a
// version in announces its digest to some peers, and each instance compares digests with a peer every ExchangeInterval.
// A digest carries its age, the time since the versions were known to be the object API's newest. An instance whose
// age passes StaleAfter reads the object API itself, so a watcher that is cut off doesn't hold the others back.
//
// In a cut: an instance serves on with the newest versions that it has. A data centre that reaches neither the platform
// nor an instance elsewhere doesn't learn of a withdrawal until the cut heals; Age tells how long that has lasted. An
// instance that starts during an outage takes the versions of its peers. After the cut the newest is in force within
// StaleAfter and one read.
//
// Lock order: applying, then mu. OnTable and OnKeyring run under applying, so they see versions in order.
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
	// WatchWait is how long a watch waits for an event; the age is renewed by each answer.
	WatchWait = time.Second
	// ExchangeInterval is how often an instance compares digests with a peer.
	ExchangeInterval = 500 * time.Millisecond
	// DefaultStaleAfter keeps a withdrawal within 5 s where all watchers are cut from the object API.
	DefaultStaleAfter = 3 * time.Second
	// Watchers is the number of instances of a data centre that watch the object API.
	Watchers = 2
	// FanOut is the number of instances that compare digests with the same one.
	FanOut = 12
	// retryDelay passes after a failed read of the object API.
	retryDelay = 500 * time.Millisecond
	// HeadName is the name of the config object that names the newest version.
	HeadName = "head"
)

// Store keeps the newest versions. The exported fields are set before Run.
type Store struct {
	Instance string
	Objects  platform.Store
	Log      *zap.Logger
	// StaleAfter is the age from which an instance reads the object API itself; 0 is DefaultStaleAfter.
	StaleAfter time.Duration
	// Holder tells whether this instance watches the object API; nil is always.
	Holder func() bool
	// OnTable puts a configuration in force; an error refuses it and the one before stays. It may be nil.
	OnTable func(*wire.Config) error
	// OnKeyring puts a keyring in force; it may be nil.
	OnKeyring func(wire.KeyringObject)
	// Exchange sends the digest to a peer and returns what this instance lacks. Where peer is empty it picks the one at
	// Parent of the instance's rank or, now and then and when that fails, any other. It may be nil.
	Exchange func(ctx context.Context, peer string, digest wire.VersionDigest) (wire.VersionOffer, error)
	// Announce tells a few peers of a new digest and doesn't block; it may be nil.
	Announce func(wire.VersionDigest)

	// newer tells whether a version follows the known one; only tests replace it.
	newer func(known, version int) bool

	applying sync.Mutex
	mu       sync.Mutex
	// config is the configuration in force; its version only grows.
	config *wire.Config
	// document is config as stored, with fields that this build doesn't know.
	document json.RawMessage
	// refused is the highest version that OnTable refused.
	refused int
	// keyrings by workspace; the object version of each only grows.
	keyrings map[string]wire.KeyringObject
	// through is the highest object version among keyrings.
	through int
	// confirmed is when the versions were known to be the newest; zero is never.
	confirmed time.Time
	// heard wakes the exchange with a peer that announced something new.
	heard     chan string
	ready     chan struct{}
	initOnce  sync.Once
	readyOnce sync.Once
}

func (s *Store) init() {
	s.initOnce.Do(func() {
		s.keyrings = map[string]wire.KeyringObject{}
		s.heard = make(chan string, 1)
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

// Parent returns the rank of the instance with which the one at the rank compares digests. The ranks below Watchers watch
// the object API; the others form a tree below them, so that ages stay small while no instance serves more than FanOut.
func Parent(rank int) int {
	if rank < Watchers {
		return (rank + 1) % Watchers
	}
	return (rank - Watchers) / FanOut
}

// Ready is closed when a configuration is in force.
func (s *Store) Ready() <-chan struct{} {
	s.init()
	return s.ready
}

// Config returns the configuration in force, or nil.
func (s *Store) Config() *wire.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// Age returns the time since the versions were known to be the newest; false is never.
func (s *Store) Age() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmed.IsZero() {
		return 0, false
	}
	return time.Since(s.confirmed), true
}

// Keyrings returns the object versions of the keyrings in force, by workspace name.
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

// Digest returns what this instance has.
func (s *Store) Digest() wire.VersionDigest {
	list := s.Keyrings()
	age, confirmed := s.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := wire.VersionDigest{Config: s.refused, KeyringsThrough: s.through, KeyringsHash: hash(list), AgeMs: -1}
	if confirmed {
		digest.AgeMs = int(age.Milliseconds())
	}
	if s.config != nil {
		digest.Config = max(digest.Config, s.config.Version)
	}
	return digest
}

func hash(list []wire.KeyringStatus) string {
	h := xxhash.New()
	for _, k := range list {
		_, _ = fmt.Fprintf(h, "%s %d\n", k.Workspace, k.Version)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// Missing returns what a peer with the digest lacks.
func (s *Store) Missing(digest wire.VersionDigest) wire.VersionOffer {
	own := s.Digest()
	offer := wire.VersionOffer{Digest: own}
	s.mu.Lock()
	defer s.mu.Unlock()
	if digest.Config < own.Config && len(s.document) > 0 {
		offer.Config = &s.document
	}
	if digest.KeyringsHash == own.KeyringsHash {
		return offer
	}
	from := digest.KeyringsThrough
	if from >= own.KeyringsThrough {
		from = -1
	}
	for _, k := range s.keyrings {
		if k.Version > from {
			offer.Keyrings = append(offer.Keyrings, k)
		}
	}
	return offer
}

// Hear takes in that a peer has the digest; Run asks the peer if this instance lacks something.
func (s *Store) Hear(peer string, digest wire.VersionDigest) {
	own := s.Digest()
	if digest.Config <= own.Config && digest.KeyringsHash == own.KeyringsHash {
		return
	}
	select {
	case s.heard <- peer:
	default:
	}
}

// Offer takes in what a peer passes on; older versions than those in force are left.
func (s *Store) Offer(offer wire.VersionOffer) { s.offer(offer, time.Now()) }

// offer takes in what a peer was asked for at the time.
func (s *Store) offer(offer wire.VersionOffer, asked time.Time) {
	changed := false
	for _, k := range offer.Keyrings {
		changed = s.OfferKeyring(k) || changed
	}
	if offer.Config != nil {
		changed = s.OfferConfig(*offer.Config) || changed
	}
	s.adoptAge(offer.Digest, asked)
	if changed {
		s.announce()
	}
}

// adoptAge takes over the peer's age where this instance has all that the peer has.
func (s *Store) adoptAge(peer wire.VersionDigest, at time.Time) {
	own := s.Digest()
	if peer.AgeMs < 0 || own.Config < peer.Config || own.KeyringsHash != peer.KeyringsHash {
		return
	}
	s.confirm(at.Add(-time.Duration(peer.AgeMs) * time.Millisecond))
}

func (s *Store) confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

func (s *Store) announce() {
	if s.Announce != nil {
		s.Announce(s.Digest())
	}
}

// OfferConfig puts a stored configuration in force if it is newer than the one in force, and tells whether it did.
func (s *Store) OfferConfig(document json.RawMessage) bool {
	s.init()
	var cfg wire.Config
	if err := json.Unmarshal(document, &cfg); err != nil {
		s.Log.Error("config_unreadable", zap.Error(err))
		return false
	}
	s.applying.Lock()
	defer s.applying.Unlock()
	if !s.isNewer(cfg.Version) {
		return false
	}
	if s.OnTable != nil {
		if err := s.OnTable(&cfg); err != nil {
			s.refuse(cfg.Version, err)
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

func (s *Store) isNewer(version int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.refused {
		return false
	}
	return s.config == nil || s.newer(s.config.Version, version)
}

func (s *Store) refuse(version int, err error) {
	s.mu.Lock()
	s.refused = version
	s.mu.Unlock()
	s.Log.Error("config_refused", zap.String("instance", s.Instance), zap.Int("version", version), zap.Error(err))
}

// OfferKeyring puts a keyring in force if it is newer than the workspace's, and tells whether it did.
func (s *Store) OfferKeyring(k wire.KeyringObject) bool {
	s.init()
	s.applying.Lock()
	defer s.applying.Unlock()
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
	s.through = max(s.through, k.Version)
	s.mu.Unlock()
	s.Log.Info("keyring_in_force", zap.String("instance", s.Instance), zap.String("workspace", k.Workspace),
		zap.Int("version", k.Version), zap.Bool("deleted", k.Deleted))
	return true
}
