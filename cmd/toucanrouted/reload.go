package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/version/settings"
)

// reloadInterval is how often the settings file is looked at, since it may change without a signal.
const reloadInterval = 2 * time.Second

// reload reads the settings again at SIGHUP and when the file has changed. Settings with a fault leave those in force.
func reload(ctx context.Context, path string, log *zap.Logger, apply func(*settings.Settings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		log.Warn("settings_unreadable", zap.Error(err))
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-tick.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			log.Warn("settings_unreadable", zap.Error(err))
			continue
		}
		if bytes.Equal(data, last) {
			if signalled {
				log.Info("settings_unchanged")
			}
			continue
		}
		last = data
		set, err := settings.Parse(path, data)
		if err != nil {
			log.Warn("settings_rejected", zap.Error(err))
			continue
		}
		log.Info("settings_reloaded", zap.Bool("signalled", signalled))
		apply(set)
	}
}
