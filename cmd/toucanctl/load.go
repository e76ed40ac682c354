package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/load/arrival"
	"github.com/toucanroute/toucanroute/load/replay"
	"github.com/toucanroute/toucanroute/load/report"
	"github.com/toucanroute/toucanroute/wire"
)

// loadConnections is the number of idle connections kept to each instance.
const loadConnections = 512

// loadCommand replays a recorded load.
type loadCommand struct {
	Config    string   `long:"config" description:"generated configuration (JSON), for the classes' targets" required:"true"`
	Arrivals  string   `long:"arrivals" description:"recorded arrival file" required:"true"`
	Instances []string `long:"instance" description:"callers' address of an instance; repeat for each" required:"true"`
	Keys      string   `long:"keys" description:"JSON file of workspace to key"`
	CA        string   `long:"ca" description:"certificates (PEM) that sign the instances'; the load then goes over TLS"`
	JSON      bool     `long:"json" description:"print the report as JSON"`
	HTML      string   `long:"html" description:"write plots to this file"`
	Quiet     bool     `long:"quiet" description:"no progress line"`
}

func addLoad(parser *flags.Parser) {
	_, err := parser.AddCommand("load", "Replay a recorded load and sum it up",
		"Sends each request of an arrival file at its time to the instances in turn and prints attainment, goodput and "+
			"wasted tokens by class and workspace.", &loadCommand{})
	mustAdd(err)
}

// Execute runs the command.
func (c *loadCommand) Execute(_ []string) error {
	cfg, err := readJSON[wire.Config](c.Config)
	if err != nil {
		return err
	}
	arrivals, err := readArrivals(c.Arrivals)
	if err != nil {
		return err
	}
	p, err := c.replayer()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	start := time.Now()
	results := p.Run(ctx, arrivals)
	rep := report.New(results, cfg, time.Since(start))
	if c.HTML != "" {
		if err := writeFile(c.HTML, rep.HTML); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(rep)
	}
	return rep.Table(os.Stdout)
}

// replayer returns the replayer for the command's options.
func (c *loadCommand) replayer() (*replay.Replayer, error) {
	p := &replay.Replayer{Instances: c.Instances, Scheme: "http"}
	if c.Keys != "" {
		keys, err := readJSON[map[string]string](c.Keys)
		if err != nil {
			return nil, err
		}
		p.Keys = *keys
	}
	transport := &http.Transport{MaxIdleConnsPerHost: loadConnections}
	if c.CA != "" {
		pool, err := readCertPool(c.CA)
		if err != nil {
			return nil, err
		}
		p.Scheme = "https"
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	p.Client = &http.Client{Transport: transport}
	if !c.Quiet {
		p.Progress = func(sent, ended int) { _, _ = fmt.Fprintf(os.Stderr, "sent %d, ended %d\n", sent, ended) }
	}
	return p, nil
}

// readArrivals reads an arrival file.
func readArrivals(path string) ([]wire.Arrival, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	arrivals, err := arrival.Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return arrivals, nil
}

// readCertPool reads certificates in PEM.
func readCertPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s: no certificate in PEM found", path)
	}
	return pool, nil
}
