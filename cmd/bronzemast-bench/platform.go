package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/bronzemast/bronzemast/internal/cli"
	"github.com/bronzemast/bronzemast/internal/standin/platform"
	"github.com/pkg/errors"
)

const (
	// directoryInterval is the time between two looks at the directory.
	directoryInterval = 100 * time.Millisecond
	// headerTimeout bounds the time to read the headers of a request.
	headerTimeout = 5 * time.Second
)

// platformCommand runs the stand-in platform.
type platformCommand struct {
	Dir     string `long:"dir" required:"true" description:"directory written by bronzemast bundle; a file named hosts in it is the host list"`
	Listen  string `long:"listen" default:"127.0.0.1:7080" description:"address of the platform, IP:port"`
	Control string `long:"control" default:"127.0.0.1:7081" description:"address of the control page, IP:port"`
}

func init() {
	commands.Register(cli.Command{
		Name:  "platform",
		Short: "run a stand-in for the platform",
		Long:  "Serves the files of a directory as the platform's values, counts the calls, and fails as its control page is told.",
		Run:   &platformCommand{},
	})
}

// Execute serves until it is interrupted.
func (c *platformCommand) Execute(_ []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// Revisions rise with the time, so that a restarted stand-in goes on above
	// the revisions of the earlier one.
	server := platform.NewAtRevision(uint64(time.Now().UnixMilli()))
	if err := server.LoadDir(c.Dir); err != nil {
		return err
	}
	failed := make(chan error, 2)
	values := serveHTTP(c.Listen, server, failed)
	control := serveHTTP(c.Control, server.ControlHandler(), failed)
	defer func() { _ = values.Close() }()  // watches may still wait
	defer func() { _ = control.Close() }() // the process ends
	go server.PollDir(ctx, c.Dir, directoryInterval, func(err error) {
		fmt.Fprintln(os.Stderr, err)
	})
	fmt.Printf("platform on http://%s, control page on http://%s\n", c.Listen, c.Control)
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// serveHTTP serves handler at address and reports the end of the server.
func serveHTTP(address string, handler http.Handler, failed chan<- error) *http.Server {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		failed <- errors.Wrapf(server.ListenAndServe(), "serve %s", address)
	}()
	return server
}
