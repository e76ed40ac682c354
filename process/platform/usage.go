package platform

import (
	"context"
	"net/http"

	"github.com/toucanroute/toucanroute/wire"
)

// Usage is the client of the usage intake.
type Usage struct {
	Client
}

// Report sends one report on a connection of its own. The guard runs right before each write to the socket.
func (u *Usage) Report(ctx context.Context, report wire.UsageReport, guard func() error) error {
	transport := GuardedTransport(u.timeout(), guard)
	defer transport.CloseIdleConnections()
	k := call{name: "usage_report", method: http.MethodPost, path: "/v1/reports", body: report, transport: transport}
	a, err := u.do(ctx, k)
	if err != nil {
		return err
	}
	return statusError(k, a)
}

// Instances is the client of the instance list.
type Instances struct {
	Client
}

// List reads the instances; the list lags.
func (i *Instances) List(ctx context.Context) (wire.InstanceList, error) {
	k := call{name: "instance_list", method: http.MethodGet, path: "/v1/instances"}
	var list wire.InstanceList
	a, err := i.do(ctx, k)
	if err != nil {
		return list, err
	}
	if err := statusError(k, a); err != nil {
		return list, err
	}
	err = decode(k, a, &list)
	return list, err
}
