// Package reload reads the settings of a running node again after SIGHUP and when
// their file changes.
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

// pollInterval is how often the settings file is looked at for a change that no
// signal has told of.
const pollInterval = 5 * time.Second

var (
	eventReloaded = event.Define(event.Event{
		Number:  1000,
		Level:   logrus.InfoLevel,
		Message: "settings reloaded",
		Fields:  []string{"cause"},
		Meaning: "The settings file was read again after a signal or a change, and what may change while the node runs is in force.",
		Action:  "None.",
	})
	eventReloadRefused = event.Define(event.Event{
		Number:  1003,
		Level:   logrus.ErrorLevel,
		Message: "settings refused",
		Fields:  []string{"cause", "error"},
		Meaning: "The settings file was read again and has mistakes, or changes what needs a restart. The earlier settings stay in force.",
		Action:  "Correct the file, or restart the node.",
	})
)

// Reloader keeps the settings of a node up to date.
type Reloader struct {
	// File is the settings file.
	File string
	// Load reads and checks the settings.
	Load func() (*kernel.Settings, error)
	// Apply puts settings in force, all of them or none.
	Apply func(*kernel.Settings) error
	Log   *event.Log

	// seen is the modification time of the file that was read last.
	seen time.Time
}

// Run serves until ctx ends.
func (r *Reloader) Run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	// A hangup that comes while the node leaves must not end it.
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

// changed reports whether the file was modified since the last look. A file that
// cannot be looked at counts as unchanged: reading it would fail as well.
func (r *Reloader) changed() bool {
	info, err := os.Stat(r.File)
	if err != nil || info.ModTime().Equal(r.seen) {
		return false
	}
	r.seen = info.ModTime()
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
