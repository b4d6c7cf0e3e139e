package platform

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// LoadDir stores each file below dir under its relative path. Releases are
// stored with their head last, so that all values of a release exist before a
// reader sees its head.
func (s *Server) LoadDir(dir string) error {
	keys, err := listKeys(dir)
	if err != nil {
		return err
	}
	for _, key := range keys {
		data, err := os.ReadFile(filepath.Join(dir, filepath.FromSlash(key)))
		if err != nil {
			return errors.Wrap(err, "read value")
		}
		if len(data) > model.MaxValueBytes {
			return errors.Errorf("value %s: %d bytes, more than the limit of %d", key, len(data), model.MaxValueBytes)
		}
		s.Put(key, data)
	}
	return nil
}

// listKeys returns the keys below dir, with the release head last. Hidden files
// are skipped.
func listKeys(dir string) ([]string, error) {
	var keys []string
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || strings.HasPrefix(entry.Name(), ".") {
			return err
		}
		relative, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		keys = append(keys, filepath.ToSlash(relative))
		return nil
	})
	sort.SliceStable(keys, func(i, j int) bool {
		return keys[i] != model.KeyHead && keys[j] == model.KeyHead
	})
	return keys, errors.Wrap(err, "list values")
}

// PollDir calls LoadDir at once and then at each interval until ctx ends. It
// passes errors to report; values loaded before an error stay.
func (s *Server) PollDir(ctx context.Context, dir string, interval time.Duration, report func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if err := s.LoadDir(dir); err != nil {
			report(err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
