// Command toucanrouted runs an instance: it accepts callers' requests and forwards them to backend servers.
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

// options holds the command-line flags.
type options struct {
	Settings string `long:"settings" env:"TOUCANROUTE_SETTINGS" description:"settings file, JSON with comments" required:"true"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
	LogLevel string `long:"log-level" description:"override log.level of the settings" choice:"debug" choice:"info" choice:"warn" choice:"error"`
	Baseline string `long:"baseline" description:"for experiments: give each request a backend server at once, without the project's scheduling" choice:"round-robin" choice:"least-reported"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses args, runs the daemon until it gets a signal and returns the exit code.
func run(args []string) int {
	hangups := catchHangups()
	var opts options
	parser := flags.NewNamedParser("toucanrouted", flags.HelpFlag|flags.PassDoubleDash|flags.PrintErrors)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		panic(err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return exitCode(err)
	}
	conf, err := settings.Load(opts.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if opts.Check {
		return 0
	}
	return serve(conf, opts, hangups)
}

// exitCode returns the exit code for an error in the command line.
func exitCode(err error) int {
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		return 0
	}
	return exitUsage
}

// serve runs the daemon until SIGTERM or SIGINT and returns the exit code. Only a forwarding daemon reloads its settings at
// hangups; others ignore them.
func serve(conf *settings.Settings, opts options, hangups <-chan os.Signal) int {
	out := zapcore.Lock(os.Stderr)
	if conf.Forwarding != nil {
		out = newAsyncWriter(os.Stdout)
	}
	log, err := newLog(logLevel(conf, opts), out)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	defer func() { _ = log.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	runDaemon := (&instance.Instance{Settings: conf, Log: log, Baseline: baselinePolicy(opts.Baseline), Build: buildVersion()}).Run
	if conf.Forwarding != nil {
		gw := newGateway(conf, log)
		go reload(ctx, opts.Settings, hangups, log, gw.Reload)
		runDaemon = gw.Run
	}
	if err := runDaemon(ctx); err != nil {
		log.Error("instance_failed", zap.Error(err))
		return exitFailed
	}
	return 0
}

// baselinePolicy returns the named policy for choosing backend servers, or an empty policy if the name is empty.
func baselinePolicy(name string) pick.Policy {
	switch name {
	case "round-robin":
		return pick.RoundRobin()
	case "least-reported":
		return pick.LeastReported()
	}
	return pick.Policy{}
}
