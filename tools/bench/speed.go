package main

import (
	"context"
	_ "embed" // embeds the questionnaire
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/toucanroute/toucanroute/tools/launch"
)

// speedQuestionnaire describes one data centre with roomy engines.
//
//go:embed speed.jsonc
var speedQuestionnaire []byte

// Shape of the speed measurement.
const (
	speedWorkspace = "bench"
	// smallTokens is the length of a small answer.
	smallTokens = 1
	// streamTokens is the length of a stream that stays open while memory is read.
	streamTokens = 100_000
	// settleTime is the time after which memory is read.
	settleTime = 3 * time.Second
)

// speedCommand compares one instance with going straight to an engine.
type speedCommand struct {
	ctx context.Context

	Root     string        `long:"root" default:"." description:"directory of the source tree"`
	Requests int           `long:"requests" default:"1000" description:"requests one after the other, each way"`
	Workers  int           `long:"workers" default:"64" description:"requests at once for the rate"`
	Length   time.Duration `long:"length" default:"5s" description:"length of the rate measurement, each way"`
	Streams  int           `long:"streams" default:"2000" description:"streams at once for the memory"`
}

// Execute runs the subcommand.
func (c *speedCommand) Execute([]string) error {
	bin, err := launch.Build(c.ctx, c.Root)
	if err != nil {
		return fmt.Errorf("build: %w", err)
	}
	dir, remove, err := launch.TempDir()
	if err != nil {
		return err
	}
	defer remove()
	d := &launch.Deployment{Bin: bin, Dir: dir, Questionnaire: dir + "/speed.jsonc", PerDataCentre: 1, TokenTime: time.Microsecond}
	if err := os.WriteFile(d.Questionnaire, speedQuestionnaire, 0o600); err != nil {
		return err
	}
	defer d.Stop()
	if err := d.Start(c.ctx); err != nil {
		return err
	}
	return c.measure(d)
}

// measure takes all figures.
func (c *speedCommand) measure(d *launch.Deployment) error {
	key, err := readKey(d)
	if err != nil {
		return err
	}
	instance := &target{address: d.Instances()[0].Callers, key: key}
	direct := &target{address: d.Servers()[0].Address}
	if err := c.latency(instance, direct); err != nil {
		return err
	}
	c.rate(instance, direct)
	return c.memory(d, instance)
}

// latency sends requests one after the other, taking the ways in turn.
func (c *speedCommand) latency(instance, direct *target) error {
	for range c.Requests {
		for _, t := range []*target{direct, instance} {
			if err := t.timeOne(c.ctx); err != nil {
				return err
			}
		}
	}
	for _, q := range []float64{50, 99} {
		a, b := direct.quantile(q), instance.quantile(q)
		fmt.Printf("time to first token p%.0f: direct %.3f ms, instance %.3f ms, added %.3f ms, ratio %.2f\n",
			q, millisOf(a), millisOf(b), millisOf(b-a), ratio(float64(b), float64(a)))
	}
	return nil
}

// rate sends as many requests as the workers can.
func (c *speedCommand) rate(instance, direct *target) {
	straight, failedStraight := direct.flood(c.ctx, c.Workers, c.Length)
	through, failedThrough := instance.flood(c.ctx, c.Workers, c.Length)
	fmt.Printf("small requests with %d workers: direct %.0f/s (%d failed), instance %.0f/s (%d failed), ratio %.2f\n",
		c.Workers, straight, failedStraight, through, failedThrough, ratio(through, straight))
}

// memory opens streams and reads the daemon's resident memory before and during them.
func (c *speedCommand) memory(d *launch.Deployment, instance *target) error {
	for _, s := range d.Servers() {
		if err := launch.Fault(c.ctx, s.Address, engineFaults{SlowFactor: 100_000}); err != nil {
			return err
		}
	}
	pid := d.Daemon(d.Instances()[0].Name).Pid()
	before, err := residentKB(pid)
	if err != nil {
		return err
	}
	ctx, end := context.WithCancel(c.ctx)
	defer end()
	open := instance.openStreams(ctx, c.Streams, settleTime)
	during, err := residentKB(pid)
	if err != nil {
		return err
	}
	fmt.Printf("%d of %d streams open: resident %.1f MB before, %.1f MB during, %.1f KB a stream\n", open, c.Streams,
		float64(before)/1024, float64(during)/1024, ratio(float64(during-before), float64(open)))
	return nil
}

// readKey returns the key of the bench's workspace.
func readKey(d *launch.Deployment) (string, error) {
	data, err := os.ReadFile(d.Path("keys.json"))
	if err != nil {
		return "", err
	}
	var keys map[string]string
	if err := json.Unmarshal(data, &keys); err != nil {
		return "", err
	}
	return keys[speedWorkspace], nil
}

func millisOf(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
