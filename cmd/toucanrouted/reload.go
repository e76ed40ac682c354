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

// reloadInterval is the time between two checks of the settings file, which may change without a signal.
const reloadInterval = 2 * time.Second

// catchHangups returns a channel that receives SIGHUP until the process ends. Without a handler, the signal would end the
// process together with its running requests, also while it is stopping.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reload calls apply with the new settings when the file at path has changed. It checks the file at each hangup and every
// reloadInterval. Invalid settings are logged and not applied.
func reload(ctx context.Context, path string, hangups <-chan os.Signal, log *zap.Logger, apply func(*settings.Settings)) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastData, err := os.ReadFile(path)
	if err != nil {
		log.Warn("settings_unreadable", zap.Error(err))
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			log.Warn("settings_unreadable", zap.Error(err))
			continue
		}
		if bytes.Equal(data, lastData) {
			if signalled {
				log.Info("settings_unchanged")
			}
			continue
		}
		lastData = data
		newSettings, err := settings.Parse(path, data)
		if err != nil {
			log.Warn("settings_rejected", zap.Error(err))
			continue
		}
		log.Info("settings_reloaded", zap.Bool("signalled", signalled))
		apply(newSettings)
	}
}
