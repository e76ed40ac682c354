package versions

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

// reader reads the objects of one kind by lists and watches.
type reader struct {
	kind string
	// fromVersion is the store version up to which all changes are known; -1 if a list is needed.
	fromVersion int
	// list applies a complete list of objects.
	list func(ctx context.Context, list wire.ObjectList) error
	// event applies one change.
	event func(ctx context.Context, e wire.ObjectEvent) error
	// confirmedAt is the last time when the known objects of the kind were the newest; zero if they never were.
	confirmedAt time.Time
}

// Run keeps the versions up to date until ctx is done.
func (s *Store) Run(ctx context.Context) {
	s.init()
	keyrings := &reader{kind: platform.KindKeyring, fromVersion: -1, list: s.applyKeyringList, event: s.applyKeyringEvent}
	configs := &reader{kind: platform.KindConfig, fromVersion: -1, list: s.applyConfigList, event: s.applyConfigEvent}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, r := range []*reader{keyrings, configs} {
		wg.Go(func() { s.follow(ctx, r, func(at time.Time) { s.confirmKind(&mu, r, keyrings, configs, at) }) })
	}
	wg.Go(func() { s.exchangeLoop(ctx) })
	wg.Wait()
}

// confirmKind records that the known objects of one kind were the newest at the given time. All versions together are
// confirmed as of the older of the two kinds' times.
func (s *Store) confirmKind(mu *sync.Mutex, r, keyrings, configs *reader, at time.Time) {
	mu.Lock()
	r.confirmedAt = at
	older := keyrings.confirmedAt
	if configs.confirmedAt.Before(older) {
		older = configs.confirmedAt
	}
	mu.Unlock()
	if !older.IsZero() {
		s.confirm(older)
	}
}

// follow keeps the objects of one kind up to date until ctx is done. A watcher does so by watches. Another instance
// reads the objects only while its versions are stale.
func (s *Store) follow(ctx context.Context, r *reader, confirm func(time.Time)) {
	for ctx.Err() == nil {
		wait := time.Duration(0)
		if s.IsWatcher == nil || s.IsWatcher() {
			wait = WatchWait
		} else if freshFor := s.untilStale(); freshFor > 0 {
			sleep(ctx, freshFor)
			continue
		}
		requestedAt := time.Now()
		noEvents, err := s.read(ctx, r, wait)
		if err != nil {
			s.Log.Warn("versions_unreadable", zap.String("kind", r.kind), zap.Error(err))
			sleep(ctx, jitter(retryDelay))
			continue
		}
		if noEvents && time.Since(requestedAt) >= wait {
			requestedAt = requestedAt.Add(wait)
		}
		confirm(requestedAt)
		if wait == 0 {
			sleep(ctx, jitter(retryDelay))
		}
	}
}

// untilStale returns the time until the versions are stale and this instance reads the object API itself.
func (s *Store) untilStale() time.Duration {
	age, confirmed := s.Age()
	if !confirmed {
		return 0
	}
	return s.StaleAfter - age
}

// jitter returns a random delay between 0.5 and 1.5 times d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// read applies all changes of a kind by a list or a watch. noEvents is set if a watch ended without an event, which
// shows that the known objects were still the newest when it ended.
func (s *Store) read(ctx context.Context, r *reader, wait time.Duration) (noEvents bool, err error) {
	if r.fromVersion < 0 {
		return false, s.readList(ctx, r)
	}
	events, err := s.Objects.Watch(ctx, r.kind, r.fromVersion, wait)
	if platform.IsErrWatchTooOld(err) {
		r.fromVersion = -1
		return false, s.readList(ctx, r)
	}
	if err != nil {
		return false, err
	}
	for _, e := range events.Events {
		if err := r.event(ctx, e); err != nil {
			return false, err
		}
	}
	r.fromVersion = max(r.fromVersion, events.Version)
	return len(events.Events) == 0, nil
}

// readList lists and applies all objects of a kind.
func (s *Store) readList(ctx context.Context, r *reader) error {
	list, err := s.Objects.List(ctx, r.kind, "")
	if err != nil {
		return err
	}
	if err := r.list(ctx, list); err != nil {
		return err
	}
	r.fromVersion = list.Version
	return nil
}

// applyKeyringList applies all listed keyrings and deletes those in force that are missing from the list.
func (s *Store) applyKeyringList(_ context.Context, list wire.ObjectList) error {
	changed := false
	present := map[string]bool{}
	for _, obj := range list.Items {
		present[obj.Name] = true
		changed = s.ApplyKeyring(newKeyringObject(obj, false)) || changed
	}
	for _, k := range s.Keyrings() {
		if !present[k.Workspace] && k.Version < list.Version {
			deletedKeyring := wire.KeyringObject{Workspace: k.Workspace, Version: list.Version, Deleted: true}
			changed = s.ApplyKeyring(deletedKeyring) || changed
		}
	}
	if changed {
		s.announce()
	}
	return nil
}

func (s *Store) applyKeyringEvent(_ context.Context, e wire.ObjectEvent) error {
	if s.ApplyKeyring(newKeyringObject(e.Object, e.Type == wire.ObjectEventTypeDelete)) {
		s.announce()
	}
	return nil
}

// newKeyringObject returns the keyring that the object holds.
func newKeyringObject(obj wire.Object, deleted bool) wire.KeyringObject {
	return wire.KeyringObject{Workspace: obj.Name, Version: obj.Version, Deleted: deleted, Value: &obj.Value}
}

func (s *Store) applyConfigList(ctx context.Context, list wire.ObjectList) error {
	for _, obj := range list.Items {
		if err := s.applyHead(ctx, obj); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) applyConfigEvent(ctx context.Context, e wire.ObjectEvent) error {
	if e.Type == wire.ObjectEventTypeDelete {
		s.Log.Error("config_head_deleted", zap.Int("version", e.Object.Version))
		return nil
	}
	return s.applyHead(ctx, e.Object)
}

// applyHead reads and applies the configuration document that the head refers to, if it is newer than the one in force.
func (s *Store) applyHead(ctx context.Context, obj wire.Object) error {
	if obj.Name != HeadName {
		return nil
	}
	head, err := platform.Decode[wire.ConfigHead](obj)
	if err != nil {
		return err
	}
	if !s.isNewer(head.Version) {
		return nil
	}
	document, err := s.Objects.Get(ctx, platform.KindConfigVersion, head.Document)
	if err != nil {
		return err
	}
	if s.ApplyConfig(document.Value) {
		s.announce()
	}
	return nil
}

// exchangeLoop compares digests with a peer at random intervals around ExchangeInterval, and immediately with a peer
// that announced newer versions.
func (s *Store) exchangeLoop(ctx context.Context) {
	if s.Exchange == nil {
		return
	}
	peer := ""
	for ctx.Err() == nil {
		requestedAt := time.Now()
		offer, err := s.Exchange(ctx, peer, s.Digest())
		if err == nil {
			s.offer(offer, requestedAt)
		}
		t := time.NewTimer(jitter(ExchangeInterval))
		select {
		case peer = <-s.announcingPeers:
		case <-t.C:
			peer = ""
		case <-ctx.Done():
		}
		t.Stop()
	}
}
