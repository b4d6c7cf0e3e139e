// Command bronzemast-node runs a node next to its target.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/bronzemast/bronzemast"
	"github.com/bronzemast/bronzemast/internal/logpipe"
	"github.com/bronzemast/bronzemast/internal/reload"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// options are the flags of the command. Those with an env tag can also be set by
// environment variables.
type options struct {
	Settings string `long:"settings" env:"BRONZEMAST_SETTINGS" required:"true" description:"settings file, JSON with comments"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	LogLevel string `long:"log-level" env:"BRONZEMAST_LOG_LEVEL" description:"overrides log.level of the settings"`
	// GCPercent is the heap growth between two garbage collections, in percent; 0
	// keeps the default of the Go runtime.
	GCPercent int    `long:"gc-percent" env:"BRONZEMAST_GC_PERCENT" description:"heap growth between two garbage collections, in percent; lower values save memory and cost processor time"`
	HostID    string `long:"host-id" env:"BRONZEMAST_HOST_ID" description:"overrides host.id of the settings"`
}

func main() {
	hangups := reload.Subscribe()
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(opts, hangups); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run runs a node until a signal ends it. hangups receives the signals to reload its settings.
func run(opts options, hangups <-chan os.Signal) error {
	settings, err := opts.load()
	if err != nil {
		return err
	}
	if opts.GCPercent > 0 {
		debug.SetGCPercent(opts.GCPercent)
	}
	out := logpipe.New(os.Stdout)
	defer out.Close()
	log, err := kernel.NewEventLog(settings, out)
	if err != nil {
		return errors.Wrap(err, "log settings")
	}
	node, err := bronzemast.New(settings, log)
	if err != nil || opts.Check {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	go (&reload.Reloader{File: opts.Settings, Load: opts.load, Apply: node.Reload, Log: log, Hangups: hangups}).Run(ctx)
	return node.Run(ctx)
}

// load reads the settings file and applies the flags that override it.
func (o options) load() (*kernel.Settings, error) {
	settings, err := kernel.LoadSettings(o.Settings)
	if err != nil {
		return nil, err
	}
	return settings, o.override(settings)
}

// override replaces settings of the file by the flags that are set.
func (o options) override(s *kernel.Settings) error {
	if o.LogLevel != "" {
		s.Log.Level = o.LogLevel
	}
	if o.HostID != "" {
		return s.SetHostID(o.HostID)
	}
	return nil
}
