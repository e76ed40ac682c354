package main

import (
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/platform"
	"github.com/toucanroute/toucanroute/process/gateway"
	client "github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/version/settings"
)

const (
	// storeTimeout limits a call to the platform's store to 250 times the usual response time.
	storeTimeout = time.Second
	// storeAckTimeout is the time without TCP acknowledgements after which a connection to the store is closed. Two
	// keep-alive probes fit into it.
	storeAckTimeout = 2 * time.Second
	// dutyTimeout limits one call for the jobs that only the current lease holder among the instances does: a usage
	// report or an order of servers.
	dutyTimeout = time.Second
	// maxStoreBytes bounds a response of the store: several objects of the largest size, 1 MB.
	maxStoreBytes = 8 << 20
	// maxDutyBytes bounds the response to a usage report or an order, which has no content of interest.
	maxDutyBytes = 64 << 10
)

// newGateway returns a gateway that forwards requests and takes its configuration from the users' platform.
func newGateway(conf *settings.Settings, log *zap.Logger) *gateway.Gateway {
	store := &platform.Store{Log: log, Client: &client.Client{
		BaseURL: "http://" + conf.Platform.Objects, Timeout: storeTimeout, MaxResponseBytes: maxStoreBytes,
		Transport: client.KeepaliveTransport(storeTimeout, storeAckTimeout),
	}}
	duties := &platform.DutyClient{
		Client:   &client.Client{BaseURL: "http://" + conf.Platform.Usage, Timeout: dutyTimeout, MaxResponseBytes: maxDutyBytes},
		Instance: conf.Instance,
	}
	return &gateway.Gateway{Settings: conf, Log: log, Build: buildVersion(), Platform: gateway.Platform{
		Store:            store.Objects(),
		ConfigKind:       platform.ConfigKind,
		ConfigName:       platform.ConfigName,
		ServerKind:       platform.ServerKind,
		EvacuationKind:   platform.EvacuationKind,
		Config:           platform.Config,
		ParseServerEntry: platform.ParseServerEntry,
		Headers:          platform.Headers(),
		ReportUsage:      duties.ReportUsage,
		OrderServers:     duties.OrderServers,
	}}
}
