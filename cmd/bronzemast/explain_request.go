package main

import (
	"fmt"
	"os"

	"github.com/bronzemast/bronzemast/internal/cli"
	"github.com/bronzemast/bronzemast/internal/requestlog"
	"github.com/pkg/errors"
)

// standardInput is the argument that stands for standard input.
const standardInput = "-"

// explainRequest prints the history of a request, reconstructed from the logs of
// nodes. Without files it reads standard input.
func explainRequest(request string, files []string, asJSON bool) error {
	reader := requestlog.NewReader(request, func(name string, bytes int64) {
		fmt.Fprintf(os.Stderr, "%s: %d MiB read\n", name, bytes>>20)
	})
	if len(files) == 0 {
		files = []string{standardInput}
	}
	for _, file := range files {
		if err := readLog(reader, file); err != nil {
			return err
		}
	}
	history := reader.History()
	for _, f := range history.Findings.All() {
		fmt.Fprintln(os.Stderr, f)
	}
	if len(history.Lines) == 0 {
		return errors.Errorf("the logs do not name request %q; only a sample of successful requests is logged", request)
	}
	if asJSON {
		return cli.WriteJSON(os.Stdout, history.Lines)
	}
	fmt.Print(history.Text())
	return nil
}

func readLog(reader *requestlog.Reader, file string) error {
	if file == standardInput {
		return reader.Read("standard input", os.Stdin)
	}
	log, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // opened for reading only
	return reader.Read(file, log)
}
