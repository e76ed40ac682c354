// Command demo builds the binaries, starts a whole deployment on loopback, sends it a mixed load and prints how its
// service levels were met.
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
	Root          string        `long:"root" default:"." description:"directory of the source tree"`
	Bin           string        `long:"bin" description:"directory of built binaries; nothing is built then"`
	Questionnaire string        `long:"questionnaire" default:"examples/doce-luz.jsonc" description:"answers of the deployment"`
	PerDataCentre int           `long:"instances-per-data-centre" default:"2" description:"instances in each data centre"`
	Rate          float64       `long:"rate" default:"40" description:"requests per second"`
	Seconds       float64       `long:"seconds" default:"12" description:"length of the load"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of the load"`
	Surge         []string      `long:"surge" description:"surge of the load, as toucanctl arrivals takes it"`
	TokenTime     time.Duration `long:"token-time" default:"4ms" description:"engines' time between tokens"`
	HTML          string        `long:"html" description:"write plots to this file"`
	Keep          bool          `long:"keep" description:"keep the settings and logs"`
	Hold          bool          `long:"hold" description:"keep all running after the load until an interrupt"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses args, shows the demo and returns the exit code.
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
	if err := show(ctx, opts); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "demo:", err)
		return exitFailed
	}
	return 0
}

// show runs the demo from the build to the sums.
func show(ctx context.Context, opts options) error {
	bin, err := build(ctx, opts)
	if err != nil {
		return err
	}
	dir, remove, err := launch.TempDir()
	if err != nil {
		return err
	}
	d := &launch.Deployment{
		Bin:           bin,
		Dir:           dir,
		Questionnaire: opts.Questionnaire,
		PerDataCentre: opts.PerDataCentre,
		TokenTime:     opts.TokenTime,
	}
	defer func() {
		d.Stop()
		if opts.Keep {
			say("settings and logs are in " + dir)
			return
		}
		remove()
	}()
	say("starting")
	if err := d.Start(ctx); err != nil {
		return err
	}
	say(fmt.Sprintf("%d instances before %d backend servers are ready", len(d.Instances()), len(d.Servers())))
	if err := load(ctx, d, opts); err != nil {
		return err
	}
	sums, err := collect(ctx, d)
	if err != nil {
		return err
	}
	sums.print(os.Stdout)
	if opts.Hold {
		hold(ctx, d)
	}
	return sums.broken()
}

// build returns the directory of the binaries, which it builds unless one is given.
func build(ctx context.Context, opts options) (string, error) {
	if opts.Bin != "" {
		return opts.Bin, nil
	}
	say("building")
	bin, err := launch.Build(ctx, opts.Root)
	if err != nil {
		return "", fmt.Errorf("build: %w", err)
	}
	return bin, nil
}

// load makes the load, sends it and prints the table.
func load(ctx context.Context, d *launch.Deployment, opts options) error {
	arrivals := []string{
		"arrivals", "--config", d.Path("config.json"), "--out", d.Path("arrivals.jsonl"),
		"--seed", strconv.FormatUint(opts.Seed, 10),
		"--rate", strconv.FormatFloat(opts.Rate, 'f', -1, 64),
		"--seconds", strconv.FormatFloat(opts.Seconds, 'f', -1, 64),
	}
	for _, surge := range opts.Surge {
		arrivals = append(arrivals, "--surge", surge)
	}
	if _, err := d.Control(ctx, nil, arrivals...); err != nil {
		return err
	}
	say("sending the load")
	args := []string{"load", "--config", d.Path("config.json"), "--arrivals", d.Path("arrivals.jsonl"), "--keys", d.Path("keys.json")}
	if opts.HTML != "" {
		args = append(args, "--html", opts.HTML)
	}
	table, err := d.Control(ctx, os.Stderr, append(args, d.CallerFlags()...)...)
	if err != nil {
		return err
	}
	fmt.Printf("\n%s\n", table)
	return nil
}

// hold prints the addresses and waits for an interrupt.
func hold(ctx context.Context, d *launch.Deployment) {
	for _, i := range d.Instances() {
		fmt.Printf("%s: callers %s, operators %s\n", i.Name, i.Callers, i.Operators)
	}
	say("object API " + d.Platform().Objects + ", keys in " + d.Path("keys.json") + ", interrupt to end")
	<-ctx.Done()
}

// say prints a line of progress.
func say(text string) {
	_, _ = fmt.Fprintln(os.Stderr, text)
}
