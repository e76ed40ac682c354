// Command toucanrouted is the daemon of an entry instance.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/toucanroute/toucanroute/process/instance"
	"github.com/toucanroute/toucanroute/request/pick"
	"github.com/toucanroute/toucanroute/version/settings"
)

// Exit codes of toucanrouted.
const (
	exitFailed = 1
	exitUsage  = 2
)

// options are the daemon's flags.
type options struct {
	Settings string `long:"settings" env:"TOUCANROUTE_SETTINGS" description:"settings file, JSON with comments" required:"true"`
	Check    bool   `long:"check" description:"check the settings file and end"`
	LogLevel string `long:"log-level" description:"override log.level of the settings" choice:"debug" choice:"info" choice:"warn" choice:"error"`
	Baseline string `long:"baseline" description:"for experiments: give each request a backend server at once, without the project's scheduling" choice:"round-robin" choice:"least-reported"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses args, runs the daemon until a signal and returns the exit code.
func run(args []string) int {
	var opts options
	parser := flags.NewNamedParser("toucanrouted", flags.HelpFlag|flags.PassDoubleDash|flags.PrintErrors)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		panic(err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return exitCode(err)
	}
	set, err := settings.Load(opts.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if opts.Check {
		return 0
	}
	return serve(set, opts)
}

// exitCode returns the code for an error of the command line.
func exitCode(err error) int {
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		return 0
	}
	return exitUsage
}

// serve runs the daemon until SIGTERM or an interrupt.
func serve(set *settings.Settings, opts options) int {
	out := zapcore.Lock(os.Stderr)
	if set.Forwarding != nil {
		out = newOutput(os.Stdout)
	}
	log, err := newLog(logLevel(set, opts), out)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	defer func() { _ = log.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	daemon := (&instance.Instance{Settings: set, Log: log, Baseline: baseline(opts.Baseline), Build: build()}).Run
	if set.Forwarding != nil {
		g := newGateway(set, log)
		go reload(ctx, opts.Settings, log, g.Reload)
		daemon = g.Run
	}
	if err := daemon(ctx); err != nil {
		log.Error("instance_failed", zap.Error(err))
		return exitFailed
	}
	return 0
}

// baseline returns the choice of backend servers of that name; without a name there is none.
func baseline(name string) pick.Policy {
	switch name {
	case "round-robin":
		return pick.RoundRobin()
	case "least-reported":
		return pick.LeastReported()
	}
	return pick.Policy{}
}
