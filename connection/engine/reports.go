package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/process/memory"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// reportTimeout bounds one request for a report.
	reportTimeout = time.Second
	// maxReportBytes bounds the body of a report, and maxReportHeadBytes its head.
	maxReportBytes     = 4 << 20
	maxReportHeadBytes = 16 << 10
	// reportMemory bounds the bodies of all reports that are read at the same time.
	reportMemory = 16 << 20
)

// ReportClient reads load reports and cache events of backend servers. The zero value is ready to use.
type ReportClient struct {
	once   sync.Once
	client http.Client
	// bodies is the memory of the bodies that are being read.
	bodies *memory.Budget
}

// initOnce creates the transport and the budget at the first request.
func (r *ReportClient) initOnce() {
	r.once.Do(func() {
		r.bodies = memory.NewBudget(reportMemory)
		r.client.Transport = &http.Transport{IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxReportHeadBytes}
	})
}

// ErrReport reports that a backend server answered a request for a report with a status other than 200.
type ErrReport struct {
	// Address is the backend server's IP address and port.
	Address string
	// Status is the HTTP status of the response.
	Status int
}

func (e ErrReport) Error() string {
	return fmt.Sprintf("backend server %s answered a request for a report with status %d", e.Address, e.Status)
}

// Load reads the load report of a backend server.
func (r *ReportClient) Load(ctx context.Context, address string) (wire.LoadReport, error) {
	var report wire.LoadReport
	err := r.get(ctx, address, "/load", &report)
	return report, err
}

// CacheEvents reads the events of an engine's prefix cache, from the event after the one numbered from.
func (r *ReportClient) CacheEvents(ctx context.Context, address string, from int) (wire.CacheEvents, error) {
	var events wire.CacheEvents
	err := r.get(ctx, address, fmt.Sprintf("/cache/events?from=%d", from), &events)
	return events, err
}

func (r *ReportClient) get(ctx context.Context, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return err
	}
	r.initOnce()
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := platform.CheckHead(resp.StatusCode, resp.Header); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return ErrReport{Address: address, Status: resp.StatusCode}
	}
	body, err := memory.ReadAll(resp.Body, r.bodies, maxReportBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, v)
}
