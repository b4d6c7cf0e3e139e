package observe

import (
	"bytes"
	"io/fs"
	"slices"
	"strconv"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/examples"
	"github.com/pkg/errors"
)

// LoadExample loads the sources of an example deployment.
func LoadExample(name string) (*config.Sources, error) {
	files, err := fs.Sub(examples.Files, name)
	if err != nil {
		return nil, errors.Wrap(err, "example")
	}
	sources, findings := config.LoadFS(files)
	return sources, findings.Err()
}

// WithRate returns a copy of the sources in which the first rate in a file is replaced
// by rate, in calls per second. It fails if the file is missing or has no rate.
func WithRate(s *config.Sources, file string, rate int) (*config.Sources, error) {
	return replaceAfter(s, file, []byte(`"rate": `), func(line []byte) []byte {
		_, rest, _ := bytes.Cut(line, []byte(","))
		return append([]byte(strconv.Itoa(rate)+","), rest...)
	})
}

// WithDanglingGrant returns a copy of the sources in which the first grant in a file
// names a caller that does not exist. It fails if the file is missing or has no grant.
func WithDanglingGrant(s *config.Sources, file string) (*config.Sources, error) {
	return replaceAfter(s, file, []byte(`{"caller": "`), func(line []byte) []byte {
		return append([]byte("nobody-"), line...)
	})
}

// replaceAfter returns a copy of the sources in which change is applied to the text
// after the first occurrence of marker in a file.
func replaceAfter(s *config.Sources, file string, marker []byte, change func(rest []byte) []byte) (*config.Sources, error) {
	copied := *s
	copied.Files = slices.Clone(s.Files)
	for i, f := range copied.Files {
		at := bytes.Index(f.Data, marker)
		if f.Name != file || at < 0 {
			continue
		}
		at += len(marker)
		copied.Files[i].Data = append(slices.Clone(f.Data[:at]), change(f.Data[at:])...)
		return &copied, nil
	}
	return nil, errors.Errorf("the sources have no file %s that contains %q", file, marker)
}
