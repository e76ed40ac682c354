// Command standin runs the simulation ("stand-in") of one outside system as a process. It logs a line `ready addr=...`
// for each listener and exits on SIGTERM.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses args, runs the stand-in until a signal arrives and returns the exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	a := &app{ctx: ctx, log: newLogger()}
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash|flags.PrintErrors)
	addCommands(parser, a)
	_, err := parser.ParseArgs(args)
	if err == nil {
		return 0
	}
	var flagErr *flags.Error
	if !errors.As(err, &flagErr) {
		return exitFailed
	}
	if flagErr.Type == flags.ErrHelp {
		return 0
	}
	return exitUsage
}

// app holds the context and the logger that all subcommands share.
type app struct {
	// ctx ends when a signal arrives.
	ctx context.Context
	log *zap.Logger
}

// ready logs that the stand-in is listening at address.
func (a *app) ready(address string) {
	a.log.Info("ready", zap.String("addr", address))
}

func newLogger() *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(os.Stdout), zap.InfoLevel)
	return zap.New(core)
}
