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

// maxIdleConnsPerInstance is the largest number of idle connections kept to each instance.
const maxIdleConnsPerInstance = 512

// loadCommand replays the requests of an arrival file.
type loadCommand struct {
	Config    string   `long:"config" description:"generated configuration (JSON), for the classes' targets" required:"true"`
	Arrivals  string   `long:"arrivals" description:"recorded arrival file" required:"true"`
	Instances []string `long:"instance" description:"address of an instance's listener for callers; repeat for each" required:"true"`
	Keys      string   `long:"keys" description:"JSON file that maps each workspace to its key"`
	CA        string   `long:"ca" description:"certificates (PEM) of the authorities that sign the instances' certificates; requests are then sent over TLS"`
	JSON      bool     `long:"json" description:"print the report as JSON"`
	HTML      string   `long:"html" description:"write plots to this file"`
	Quiet     bool     `long:"quiet" description:"print no progress lines"`
}

func addLoad(parser *flags.Parser) {
	_, err := parser.AddCommand("load", "Replay an arrival file and summarize the results",
		"Sends each request of an arrival file at its time to the instances in turn and prints attainment, goodput and "+
			"wasted tokens by class and workspace.", &loadCommand{})
	mustAdd(err)
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute(_ []string) error {
	cfg, err := readJSON[wire.Config](c.Config)
	if err != nil {
		return err
	}
	arrivals, err := readArrivals(c.Arrivals)
	if err != nil {
		return err
	}
	replayer, err := c.newReplayer()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	start := time.Now()
	results := replayer.Run(ctx, arrivals)
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

// newReplayer returns a replayer with the command's options.
func (c *loadCommand) newReplayer() (*replay.Replayer, error) {
	replayer := &replay.Replayer{Instances: c.Instances, Scheme: "http"}
	if c.Keys != "" {
		keys, err := readJSON[map[string]string](c.Keys)
		if err != nil {
			return nil, err
		}
		replayer.Keys = *keys
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerInstance}
	if c.CA != "" {
		pool, err := readCertPool(c.CA)
		if err != nil {
			return nil, err
		}
		replayer.Scheme = "https"
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	replayer.Client = &http.Client{Transport: transport}
	if !c.Quiet {
		replayer.Progress = func(sent, ended int) { _, _ = fmt.Fprintf(os.Stderr, "sent %d, ended %d\n", sent, ended) }
	}
	return replayer, nil
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

// readCertPool reads a PEM file of certificates.
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
