package mesh

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/sleep"
	"github.com/toucanroute/toucanroute/wire"
)

// discover stores the datagram address of this instance and periodically reads those of the other instances.
func (m *Mesh) discover(ctx context.Context) {
	for !m.record(ctx) {
		sleep.For(ctx, silentRetryInterval)
		if ctx.Err() != nil {
			return
		}
	}
	for ctx.Err() == nil {
		if list, err := m.Store.List(ctx, KindInstance, ""); err == nil {
			m.addListed(list.Items)
			if !slices.ContainsFunc(list.Items, func(o wire.Object) bool { return o.Name == m.Instance }) {
				// The store came back from a copy that is older than the record.
				m.record(ctx)
			}
			if m.RemovesRecords != nil && m.RemovesRecords() {
				m.removeGoneRecords(ctx, list.Items)
			}
		}
		sleep.For(ctx, relistInterval)
	}
}

// record stores the datagram address of this instance in its record, which replaces that of an earlier process. It
// reports whether it succeeded.
func (m *Mesh) record(ctx context.Context) bool {
	record := wire.InstanceRecord{Address: m.Address, Run: m.Run, DataCentre: m.DataCentre, FirstRun: true}
	_, err := m.Store.Create(ctx, KindInstance, m.Instance, record)
	if platform.IsErrConflict(err) {
		var o wire.Object
		if o, err = m.Store.Get(ctx, KindInstance, m.Instance); err == nil {
			record.FirstRun = false
			_, err = m.Store.Update(ctx, KindInstance, m.Instance, o.Version, record)
		}
	}
	if err != nil {
		m.Log.Info("instance_not_recorded", zap.Error(err))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.firstRun = err == nil && record.FirstRun && !m.listed
	return err == nil
}

// IsFirstRun reports whether no process of the deployment ran before this one and those that started with it: neither this
// instance nor another one had a record of an earlier process when this one read them. An instance of a build that doesn't
// tell counts as one that had. decided is false while the records weren't read.
func (m *Mesh) IsFirstRun() (isFirst, decided bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.firstRun, m.listed
}

// removeGoneRecords removes the stored records of instances that sent nothing for forgottenAfter. An instance that was
// only cut off from the network finds its peers again through their records in the store, and sends them datagrams.
func (m *Mesh) removeGoneRecords(ctx context.Context, items []wire.Object) {
	for _, o := range items {
		m.mu.Lock()
		p := m.peers[o.Name]
		isGone := p != nil && p.isGone(time.Now(), forgottenAfter)
		m.mu.Unlock()
		if !isGone {
			continue
		}
		err := m.Store.Delete(ctx, KindInstance, o.Name, o.Version)
		m.Log.Info("instance_record_removed", zap.String("peer", o.Name), zap.Error(err))
	}
}

// addListed adds the listed instances that aren't known yet.
func (m *Mesh) addListed(items []wire.Object) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	isFirstList := !m.listed
	m.listed, m.forgotten = true, false
	if m.peers == nil {
		m.peers = map[string]*peer{}
	}
	for _, o := range items {
		record, err := platform.Decode[wire.InstanceRecord](o)
		if isFirstList && o.Name != m.Instance && !record.FirstRun {
			m.firstRun = false
		}
		if err != nil || o.Name == m.Instance || m.peers[o.Name] != nil {
			continue
		}
		address, err := netip.ParseAddrPort(record.Address)
		if err != nil {
			m.Log.Info("instance_record_rejected", zap.String("peer", o.Name), zap.Error(err))
			continue
		}
		m.peers[o.Name] = &peer{dataCentre: record.DataCentre, address: address, discoveredAt: now}
	}
}
