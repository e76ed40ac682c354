package instance

import (
	"context"
	"crypto/tls"
	"sync"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/connection/peer"
	"github.com/toucanroute/toucanroute/process/home"
	"github.com/toucanroute/toucanroute/wire"
)

// peerLinks holds the links that this instance has dialled to the other instances.
type peerLinks struct {
	// ctx is the context of all links; its end closes them.
	ctx context.Context
	log *zap.Logger
	// tls returns the TLS configuration for a link to an instance; nil means plain TCP.
	tls func(instance string) *tls.Config
	// self returns the heartbeat message of this instance.
	self func() wire.Hello
	// handleHeartbeat, handleLinkDown and preempt are called by the links; see peer.Link.
	handleHeartbeat func(wire.Hello)
	handleLinkDown  func(instance string)
	preempt         func(wire.GrantPreempt)

	mu sync.Mutex
	// byInstance holds the link to each instance. A link is replaced when the address of its instance changes.
	byInstance map[string]*dialledLink
}

// dialledLink is a link with the function that closes it.
type dialledLink struct {
	link   *peer.Link
	cancel context.CancelFunc
}

// ensure opens a link to an instance unless there is one to that address.
func (l *peerLinks) ensure(instance, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.byInstance[instance]; old != nil {
		if old.link.Address == address {
			return
		}
		old.cancel()
	}
	ctx, cancel := context.WithCancel(l.ctx)
	link := &peer.Link{
		Peer:      instance,
		Address:   address,
		TLS:       l.tls(instance),
		Log:       l.log,
		Self:      l.self,
		OnHello:   l.handleHeartbeat,
		OnDown:    func() { l.handleLinkDown(instance) },
		OnPreempt: l.preempt,
	}
	if l.byInstance == nil {
		l.byInstance = map[string]*dialledLink{}
	}
	l.byInstance[instance] = &dialledLink{link: link, cancel: cancel}
	go link.Run(ctx)
}

// drop closes and removes the link to an instance.
func (l *peerLinks) drop(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.byInstance[instance]; old != nil {
		old.cancel()
		delete(l.byInstance, instance)
	}
}

// get returns the link to an instance, or false if the link is not up.
func (l *peerLinks) get(instance string) (*peer.Link, bool) {
	l.mu.Lock()
	dialled := l.byInstance[instance]
	l.mu.Unlock()
	if dialled == nil || !dialled.link.IsUp() {
		return nil, false
	}
	return dialled.link, true
}

// homePeer returns the link to an instance as the home.Peer that the router uses.
func (l *peerLinks) homePeer(instance string) (home.Peer, bool) {
	link, ok := l.get(instance)
	if !ok {
		return home.Peer{}, false
	}
	return home.Peer{Acquire: link.Acquire, Release: link.Release, ReportFirstToken: link.ReportFirstToken, DeclareGrants: link.DeclareGrants}, true
}
