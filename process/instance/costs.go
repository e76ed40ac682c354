package instance

import (
	"context"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/version/route"
	"github.com/toucanroute/toucanroute/wire"
)

// costTracker holds what the burn page shows of costs: the time for which each backend server was paid, and the numbers
// of usage reports that this instance has sent.
type costTracker struct {
	mu sync.Mutex
	// serverStates holds the newest state, with the paid time, of each backend server of this data centre.
	serverStates map[string]wire.ServerState
	// reportStats holds the numbers of usage reports; see recordReport.
	reportStats wire.ReportCounts
}

// recordServers records the server states that the ordering interface returned.
func (s *costTracker) recordServers(states wire.ServerStates) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.serverStates == nil {
		s.serverStates = map[string]wire.ServerState{}
	}
	for _, state := range states.Servers {
		s.serverStates[state.Server] = state
	}
}

// recordReport counts a usage report: as off if the usage intake rejected it, as sent if it was accepted, and also as
// late if that was more than one window after the end of the reported window. A report that failed in another way is
// sent again and not counted.
func (s *costTracker) recordReport(report wire.UsageReport, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if platform.IsErrRejected(err) || platform.IsErrConflict(err) {
		s.reportStats.Off++
		return
	}
	if err != nil {
		return
	}
	s.reportStats.Sent++
	due := time.UnixMilli(int64(report.WindowStartMs + 2*report.WindowMs))
	if time.Now().After(due) {
		s.reportStats.Late++
	}
}

// paidServers returns the paid time and the price of the backend servers that the configuration contains.
func (s *costTracker) paidServers(table *route.Table) []wire.PaidServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []wire.PaidServer
	for name, state := range s.serverStates {
		cfg, ok := table.Server(name)
		if !ok {
			continue
		}
		list = append(list, wire.PaidServer{
			Server:      name,
			DataCentre:  cfg.DataCentre,
			Kind:        string(cfg.Kind),
			PaidMs:      state.PaidMs,
			CostPerHour: cfg.CostPerHour,
		})
	}
	return list
}

// reportCounts returns a copy of the numbers of usage reports.
func (s *costTracker) reportCounts() *wire.ReportCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.reportStats
	return &c
}

// fetchServerStates reads the states of the backend servers of a data centre from the ordering interface. It also
// records them in costTracker, since each state contains the time for which the server was paid.
func (i *Instance) fetchServerStates(ctx context.Context, dataCentre string) (wire.ServerStates, error) {
	if i.Settings.Platform.Ordering == "" {
		return wire.ServerStates{}, nil
	}
	states, err := i.ordering.Servers(ctx, dataCentre)
	if err == nil {
		i.costTracker.recordServers(states)
	}
	return states, err
}
