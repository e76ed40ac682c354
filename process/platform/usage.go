package platform

import (
	"context"
	"net/http"

	"github.com/toucanroute/toucanroute/wire"
)

// Usage is the client of the usage intake, which receives the usage reports.
type Usage struct {
	Client
}

// Report sends one report on a connection of its own. It calls the guard immediately before each write to the socket.
func (u *Usage) Report(ctx context.Context, report wire.UsageReport, guard func() error) error {
	transport := GuardedTransport(u.timeout(), guard)
	defer transport.CloseIdleConnections()
	spec := call{name: "usage_report", method: http.MethodPost, path: "/v1/reports", body: report, transport: transport}
	response, err := u.do(ctx, spec)
	if err != nil {
		return err
	}
	return statusError(spec, response)
}

// Instances is the client of the platform's list of instances.
type Instances struct {
	Client
}

// List reads the list of instances. The list lags behind the actual state.
func (i *Instances) List(ctx context.Context) (wire.InstanceList, error) {
	spec := call{name: "instance_list", method: http.MethodGet, path: "/v1/instances"}
	var list wire.InstanceList
	response, err := i.do(ctx, spec)
	if err != nil {
		return list, err
	}
	if err := statusError(spec, response); err != nil {
		return list, err
	}
	err = decode(spec, response, &list)
	return list, err
}
