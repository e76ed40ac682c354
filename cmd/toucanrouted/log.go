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

// logLevel returns the level from the flag, else the one from the settings, else info.
func logLevel(conf *settings.Settings, opts options) string {
	if opts.LogLevel != "" {
		return opts.LogLevel
	}
	if conf.Log != nil && conf.Log.Level != "" {
		return string(conf.Log.Level)
	}
	return "info"
}

// newLog returns a logger that writes each event to out as one line of key=value pairs. It also becomes the logger of
// the network library.
func newLog(level string, out zapcore.WriteSyncer) (*zap.Logger, error) {
	var minLevel zapcore.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, err
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.MessageKey = "event"
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	log := zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(cfg), out, minLevel))
	logging.SetLogger(netLogger{log.Sugar()})
	return log, nil
}

// netLogger writes the log lines of the network library. They matter only when the library fails, so its info lines
// are logged at debug level.
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

// buildVersion returns the version control revision of the build or, if the build has none, the module version.
func buildVersion() string {
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
