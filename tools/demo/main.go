// Command demo builds the binaries, starts a whole deployment on loopback, sends it a mixed load and prints how well
// the service-level targets were met.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/tools/launch"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// options of the command line.
type options struct {
	Root                   string        `long:"root" default:"." description:"directory of the source tree"`
	Bin                    string        `long:"bin" description:"directory of existing binaries; skips the build"`
	Questionnaire          string        `long:"questionnaire" default:"examples/doce-luz.jsonc" description:"questionnaire file of the deployment"`
	InstancesPerDataCentre int           `long:"instances-per-data-centre" default:"2" description:"instances in each data centre"`
	Rate                   float64       `long:"rate" default:"40" description:"requests per second"`
	Seconds                float64       `long:"seconds" default:"12" description:"duration of the load in seconds"`
	Seed                   uint64        `long:"seed" default:"1" description:"seed of the load"`
	Surge                  []string      `long:"surge" description:"surge of the load in the format of toucanctl arrivals --surge; may be repeated"`
	TokenTime              time.Duration `long:"token-time" default:"4ms" description:"engines' time between tokens"`
	HTML                   string        `long:"html" description:"write plots to this file"`
	Keep                   bool          `long:"keep" description:"keep the directory with settings and logs"`
	Hold                   bool          `long:"hold" description:"keep the deployment running after the load until interrupted"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses args, runs the demo and returns the exit code.
func run(args []string) int {
	var opts options
	_, err := flags.NewParser(&opts, flags.Default).ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		return 0
	}
	if err != nil {
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := runDemo(ctx, opts); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "demo:", err)
		return exitFailed
	}
	return 0
}

// runDemo builds the binaries, starts the deployment, sends the load and prints the totals of the stand-ins.
func runDemo(ctx context.Context, opts options) error {
	binDir, err := build(ctx, opts)
	if err != nil {
		return err
	}
	dir, remove, err := launch.TempDir()
	if err != nil {
		return err
	}
	d := &launch.Deployment{
		BinDir:                 binDir,
		Dir:                    dir,
		Questionnaire:          opts.Questionnaire,
		InstancesPerDataCentre: opts.InstancesPerDataCentre,
		TokenTime:              opts.TokenTime,
	}
	defer func() {
		d.Stop()
		if opts.Keep {
			logProgress("settings and logs are in " + dir)
			return
		}
		remove()
	}()
	logProgress("starting the deployment")
	if err := d.Start(ctx); err != nil {
		return err
	}
	logProgress(fmt.Sprintf("%d instances and %d backend servers are ready", len(d.Instances()), len(d.Servers())))
	if err := sendLoad(ctx, d, opts); err != nil {
		return err
	}
	totals, err := collectTotals(ctx, d)
	if err != nil {
		return err
	}
	totals.print(os.Stdout)
	if opts.Hold {
		waitForInterrupt(ctx, d)
	}
	return totals.violation()
}

// build returns the directory of the binaries; it builds them unless the options name a directory.
func build(ctx context.Context, opts options) (string, error) {
	if opts.Bin != "" {
		return opts.Bin, nil
	}
	logProgress("building the binaries")
	binDir, err := launch.Build(ctx, opts.Root)
	if err != nil {
		return "", fmt.Errorf("build: %w", err)
	}
	return binDir, nil
}

// sendLoad generates the arrivals, sends them and prints the result table.
func sendLoad(ctx context.Context, d *launch.Deployment, opts options) error {
	arrivals := []string{
		"arrivals", "--config", d.Path("config.json"), "--out", d.Path("arrivals.jsonl"),
		"--seed", strconv.FormatUint(opts.Seed, 10),
		"--rate", strconv.FormatFloat(opts.Rate, 'f', -1, 64),
		"--seconds", strconv.FormatFloat(opts.Seconds, 'f', -1, 64),
	}
	for _, surge := range opts.Surge {
		arrivals = append(arrivals, "--surge", surge)
	}
	if _, err := d.RunToucanctl(ctx, nil, arrivals...); err != nil {
		return err
	}
	logProgress("sending the load")
	args := []string{"load", "--config", d.Path("config.json"), "--arrivals", d.Path("arrivals.jsonl"), "--keys", d.Path("keys.json")}
	if opts.HTML != "" {
		args = append(args, "--html", opts.HTML)
	}
	resultTable, err := d.RunToucanctl(ctx, os.Stderr, append(args, d.CallerAddressFlags()...)...)
	if err != nil {
		return err
	}
	fmt.Printf("\n%s\n", resultTable)
	return nil
}

// waitForInterrupt prints the addresses of the deployment and waits for an interrupt.
func waitForInterrupt(ctx context.Context, d *launch.Deployment) {
	for _, i := range d.Instances() {
		fmt.Printf("%s: callers %s, operators %s\n", i.Name, i.Callers, i.Operators)
	}
	logProgress("object API " + d.Platform().Objects + ", keys in " + d.Path("keys.json") + ", interrupt to end")
	<-ctx.Done()
}

// logProgress prints a progress line to standard error.
func logProgress(text string) {
	_, _ = fmt.Fprintln(os.Stderr, text)
}
