package main

import (
	"fmt"
	"runtime/debug"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/lesismal/nbio/logging"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/toucanroute/toucanroute/version/settings"
)

// logLevel returns the level of the flag or else of the settings.
func logLevel(set *settings.Settings, opts options) string {
	if opts.LogLevel != "" {
		return opts.LogLevel
	}
	if set.Log != nil && set.Log.Level != "" {
		return string(set.Log.Level)
	}
	return "info"
}

// newLog returns a log that writes one line of key=value pairs for each event to out.
func newLog(level string, out zapcore.WriteSyncer) (*zap.Logger, error) {
	var lowest zapcore.Level
	if err := lowest.UnmarshalText([]byte(level)); err != nil {
		return nil, err
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.MessageKey = "event"
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	log := zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(cfg), out, lowest))
	logging.SetLogger(netLogger{log.Sugar()})
	return log, nil
}

// netLogger takes the lines of the network library, which are of interest only when it fails.
type netLogger struct {
	log *zap.SugaredLogger
}

func (netLogger) SetLevel(int) {}

func (l netLogger) Debug(format string, v ...any) {
	l.log.Debugw("net", "detail", fmt.Sprintf(format, v...))
}

func (l netLogger) Info(format string, v ...any) {
	l.log.Debugw("net", "detail", fmt.Sprintf(format, v...))
}

func (l netLogger) Warn(format string, v ...any) {
	l.log.Warnw("net", "detail", fmt.Sprintf(format, v...))
}

func (l netLogger) Error(format string, v ...any) {
	l.log.Errorw("net", "detail", fmt.Sprintf(format, v...))
}

// build names the build from the version control stamp, where there is one.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
