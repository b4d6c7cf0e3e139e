package config

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// temporaryPattern matches the temporary files of unfinished writes.
const temporaryPattern = ".new-*"

// clean removes the temporary files of interrupted runs and, unless keep is 0,
// all but the newest keep releases. The caller holds the lock.
func (t *Tree) clean(keep int) error {
	for _, dir := range []string{"release", treeRecords, treeParts, treePacks} {
		if err := removeTemporaryFiles(t.path(dir)); err != nil {
			return err
		}
	}
	if keep == 0 {
		return nil
	}
	numbers, err := t.recordNumbers()
	if err != nil || len(numbers) <= keep {
		return err
	}
	old, kept := numbers[:len(numbers)-keep], numbers[len(numbers)-keep:]
	referenced, err := t.referencedParts(kept)
	if err != nil {
		return err
	}
	for _, number := range old {
		if err := os.Remove(t.path(recordFile(number))); err != nil {
			return err
		}
	}
	return t.removeUnreferencedParts(referenced)
}

func removeTemporaryFiles(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, temporaryPattern))
	if err != nil {
		return err
	}
	for _, file := range files {
		if err := os.Remove(file); err != nil {
			return err
		}
	}
	return nil
}

// referencedParts returns the names of the part files that the records with the
// given numbers refer to.
func (t *Tree) referencedParts(numbers []uint64) (map[string]bool, error) {
	referenced := map[string]bool{}
	for _, number := range numbers {
		raw, err := t.readRecord(recordFile(number))
		if err != nil {
			return nil, err
		}
		record, err := DecodeRecord(raw)
		if err != nil {
			return nil, errors.Wrap(err, recordFile(number))
		}
		for _, ref := range record.Parts {
			referenced[ref.Digest.String()] = true
		}
	}
	return referenced, nil
}

func (t *Tree) removeUnreferencedParts(referenced map[string]bool) error {
	entries, err := os.ReadDir(t.path(treeParts))
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if referenced[entry.Name()] {
			continue
		}
		if err := os.Remove(filepath.Join(t.path(treeParts), entry.Name())); err != nil {
			return err
		}
	}
	return nil
}
