// Package reload reloads the settings of a running node on SIGHUP and when the settings
// file changes.
package reload

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/sirupsen/logrus"
)

// pollInterval is the interval at which the settings file is checked for changes that
// were not announced by a signal.
const pollInterval = 5 * time.Second

var (
	eventReloaded = event.Define(event.Event{
		Number:  1000,
		Level:   logrus.InfoLevel,
		Message: "settings reloaded",
		Fields:  []string{"cause"},
		Meaning: "The settings file was reloaded after a signal or a change of the file. The settings that can change without a restart are in force.",
		Action:  "None.",
	})
	eventReloadRefused = event.Define(event.Event{
		Number:  1003,
		Level:   logrus.ErrorLevel,
		Message: "settings refused",
		Fields:  []string{"cause", "error"},
		Meaning: "The settings file was reloaded, but it is invalid or changes settings that require a restart. The previous settings remain in force.",
		Action:  "Correct the file, or restart the node.",
	})
)

// Reloader reloads the settings of a node.
type Reloader struct {
	// File is the path of the settings file.
	File string
	// Load reads and validates the settings.
	Load func() (*kernel.Settings, error)
	// Apply applies settings, either all of them or none.
	Apply func(*kernel.Settings) error
	Log   *event.Log
	// Hangups receives the signals to reload. If it is nil, Run subscribes to them.
	Hangups <-chan os.Signal

	// modTime is the modification time of the file as of the last check.
	modTime time.Time
}

// Subscribe subscribes to the signals to reload. A program calls it before it reads its settings:
// a signal that comes earlier ends the process.
func Subscribe() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// Run reloads the settings as necessary until ctx ends.
func (r *Reloader) Run(ctx context.Context) {
	hangups := r.Hangups
	if hangups == nil {
		hangups = Subscribe()
	}
	// A SIGHUP during shutdown must not terminate the process.
	defer signal.Ignore(syscall.SIGHUP)
	r.changed()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.changed()
			r.reload("signal")
		case <-ticker.C:
			if r.changed() {
				r.reload("change")
			}
		}
	}
}

// changed reports whether the file was modified since the last check. If its status
// cannot be read, it counts as unchanged, because reading the file would fail as well.
func (r *Reloader) changed() bool {
	info, err := os.Stat(r.File)
	if err != nil || info.ModTime().Equal(r.modTime) {
		return false
	}
	r.modTime = info.ModTime()
	return true
}

func (r *Reloader) reload(cause string) {
	settings, err := r.Load()
	if err == nil {
		err = r.Apply(settings)
	}
	if err != nil {
		r.Log.Emit(eventReloadRefused, event.Fields{"cause": cause, "error": err.Error()})
		return
	}
	r.Log.Emit(eventReloaded, event.Fields{"cause": cause})
}
