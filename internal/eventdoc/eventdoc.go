// Package eventdoc writes the catalogue of events as a Markdown document.
package eventdoc

import (
	"fmt"
	"io"
	"strings"

	"github.com/bronzemast/bronzemast/event"
)

const header = `# Events

Every log entry of a node carries the field ` + "`event`" + ` with one of these numbers.
A number is never given to another event. This page is the output of
` + "`go run ./cmd/bronzemast events`" + `; a test compares the two.
`

// Write writes the events, in the order given, as a page in Markdown.
func Write(out io.Writer, events []*event.Event) error {
	if _, err := io.WriteString(out, header); err != nil {
		return err
	}
	for _, e := range events {
		_, err := fmt.Fprintf(out, "\n## %d: %s\n\n- Level: %s\n- Fields: %s\n- Meaning: %s\n- Action: %s\n",
			e.Number, e.Message, e.Level, fields(e.Fields), orNone(e.Meaning), orNone(e.Action))
		if err != nil {
			return err
		}
	}
	return nil
}

func fields(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return "`" + strings.Join(names, "`, `") + "`"
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
