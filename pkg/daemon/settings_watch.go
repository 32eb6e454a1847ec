package daemon

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscusrock/hibiscusrock/pkg/config"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
)

// settingsCheckInterval is the time between two looks at the settings file, which may
// change without a signal.
const settingsCheckInterval = 2 * time.Second

// settingsWatch reads the settings file again when it changed or a signal asks for it.
type settingsWatch struct {
	log  *logrus.Entry
	path string
	// running holds the settings in effect, and apply puts changed ones into effect.
	running config.Settings
	apply   func(config.Settings)
	// read is the file as it was read last.
	read fileState
}

// fileState tells whether a file was replaced or written to.
type fileState struct {
	size     int64
	modified time.Time
}

func stateOf(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{size: info.Size(), modified: info.ModTime()}
}

// start watches the file until ctx ends; the channel is closed then.
func (w *settingsWatch) start(ctx context.Context, reloads <-chan os.Signal) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(settingsCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-reloads:
				w.reload()
			case <-ticker.C:
				if stateOf(w.path) != w.read {
					w.reload()
				}
			}
		}
	}()
	return done
}

// reload puts changed settings into effect as far as a running node can, and logs them.
func (w *settingsWatch) reload() {
	w.read = stateOf(w.path)
	log := w.log.WithField("event", event.SettingsReloaded)
	read, err := config.Load(w.path)
	if err != nil {
		log.WithError(err).Warn("settings read again, nothing changed")
		return
	}
	adopted, atStart := w.running.Adopt(read)
	if len(adopted) > 0 {
		w.apply(w.running)
	}
	log = log.WithField("changed", adopted)
	if len(atStart) > 0 {
		log.WithField("at_start", atStart).Warn("settings read again, some changes need a restart")
		return
	}
	log.Info("settings read again")
}
