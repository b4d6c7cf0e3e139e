package config

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"

	"github.com/pkg/errors"
)

// Names in a bundle tree, which are also the platform's keys.
const (
	treeHead    = "release/head"
	treeRecords = "release/records"
	treeParts   = "release/parts"
	treePacks   = "release/packs"
	treeLock    = "release/.lock"
)

// Tree is a directory with the files that the platform publishes.
type Tree struct {
	dir string
}

// OpenTree returns the tree in dir, which need not exist yet.
func OpenTree(dir string) *Tree {
	return &Tree{dir: dir}
}

func (t *Tree) path(name string) string {
	return filepath.Join(t.dir, filepath.FromSlash(name))
}

func recordFile(number uint64) string {
	return treeRecords + "/" + strconv.FormatUint(number, 10)
}

func partFile(digest Digest) string {
	return treeParts + "/" + digest.String()
}

// Head returns the newest record, nil if there is none.
func (t *Tree) Head() (*Record, error) {
	raw, err := t.readRecord(treeHead)
	if err != nil || raw == nil {
		return nil, err
	}
	return DecodeRecord(raw)
}

func (t *Tree) readRecord(name string) ([]byte, error) {
	raw, err := readBounded(os.DirFS(t.dir), name, MaxRecordBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return raw, errors.Wrapf(err, "read %s", name)
}

// Read returns the release with the given number, the newest one for 0.
func (t *Tree) Read(number uint64) (*Release, error) {
	name := treeHead
	if number > 0 {
		name = recordFile(number)
	}
	raw, err := t.readRecord(name)
	if err != nil {
		return nil, err
	}
	if raw == nil {
		return nil, errors.Errorf("%s holds no %s", t.dir, name)
	}
	record, err := DecodeRecord(raw)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	parts := make(map[Digest][]byte, len(record.Parts))
	for _, ref := range record.Parts {
		data, err := readBounded(os.DirFS(t.dir), partFile(ref.Digest), MaxPartBytes)
		if err != nil {
			return nil, errors.Wrapf(err, "read part %s", ref.Name)
		}
		parts[ref.Digest] = data
	}
	return Assemble(raw, parts)
}

// Publish builds the release that follows the newest one, compiles it and, if
// there is no error, writes it. number is the release number; 0 selects the next
// one. A lock serializes the calls on a tree, including those of other processes.
func (t *Tree) Publish(s *Sources, number uint64) (*Release, error) {
	unlock, err := t.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	head, err := t.Head()
	if err != nil {
		return nil, err
	}
	highest, err := t.highestNumber(head)
	if err != nil {
		return nil, err
	}
	if number == 0 {
		number = highest + 1
	}
	if number <= highest {
		return nil, errors.Errorf("release number %d is already used; the next one is %d", number, highest+1)
	}
	release, err := Build(s, number, head)
	if err != nil {
		return nil, err
	}
	if _, findings := Compile(release); findings.Failed() {
		return nil, findings.Err()
	}
	if err := t.write(release); err != nil {
		return nil, err
	}
	return release, errors.Wrapf(t.clean(s.KeptReleases), "release %d is published, but old files cannot be removed", number)
}

// highestNumber returns the highest release number in use, 0 if there is none. It
// includes the records of interrupted runs, since a reader may have seen them.
func (t *Tree) highestNumber(head *Record) (uint64, error) {
	numbers, err := t.recordNumbers()
	if err != nil {
		return 0, err
	}
	if head != nil {
		numbers = append(numbers, head.Number)
	}
	if len(numbers) == 0 {
		return 0, nil
	}
	return slices.Max(numbers), nil
}

// recordNumbers returns the numbers of all records in ascending order.
func (t *Tree) recordNumbers() ([]uint64, error) {
	entries, err := os.ReadDir(t.path(treeRecords))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, errors.Wrap(err, "list records")
	}
	var numbers []uint64
	for _, entry := range entries {
		if number, err := strconv.ParseUint(entry.Name(), 10, 64); err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// lock waits for the exclusive lock of the tree. The operating system releases it
// when the process ends for whatever reason.
func (t *Tree) lock() (unlock func(), err error) {
	if err := os.MkdirAll(t.path("release"), 0o755); err != nil {
		return nil, errors.Wrap(err, "create tree")
	}
	file, err := os.OpenFile(t.path(treeLock), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open lock")
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX); err != nil {
		_ = file.Close() // the lock error is more useful
		return nil, errors.Wrap(err, "lock tree")
	}
	return func() { _ = file.Close() }, nil // closing the file releases the lock
}

// write writes the parts first and the head last, so that a reader of the head
// finds everything that it refers to.
func (t *Tree) write(r *Release) error {
	for _, dir := range []string{treeRecords, treeParts, treePacks} {
		if err := os.MkdirAll(t.path(dir), 0o755); err != nil {
			return errors.Wrap(err, "create tree")
		}
	}
	for _, ref := range r.Record.Parts {
		if err := t.writePart(ref.Digest, r.Parts[ref.Digest]); err != nil {
			return err
		}
	}
	if err := t.writePacks(r); err != nil {
		return err
	}
	if err := t.writeFile(recordFile(r.Record.Number), r.Raw, os.Link); err != nil {
		return err
	}
	return t.writeFile(treeHead, r.Raw, os.Rename)
}

// writePacks replaces the packs of the previous release. A leftover pack of a larger
// release is harmless.
func (t *Tree) writePacks(r *Release) error {
	packs, err := EncodePacks(r)
	if err != nil {
		return err
	}
	for i, data := range packs {
		if err := t.writeFile(treePacks+"/"+strconv.Itoa(i), data, os.Rename); err != nil {
			return err
		}
	}
	return nil
}

// writePart writes a part unless the tree already has it with the same contents.
func (t *Tree) writePart(digest Digest, data []byte) error {
	name := partFile(digest)
	existing, err := readBounded(os.DirFS(t.dir), name, MaxPartBytes)
	if err == nil && bytes.Equal(existing, data) {
		return nil
	}
	return t.writeFile(name, data, os.Rename)
}

// writeFile writes a temporary file and moves it into place with move: os.Rename
// replaces an existing file, os.Link fails if there is one.
func (t *Tree) writeFile(name string, data []byte, move func(from, to string) error) error {
	target := t.path(name)
	file, err := os.CreateTemp(filepath.Dir(target), temporaryPattern)
	if err != nil {
		return errors.Wrapf(err, "write %s", name)
	}
	defer func() { _ = os.Remove(file.Name()) }() // fails harmlessly after a rename
	if err := writeAndClose(file, data); err != nil {
		return errors.Wrapf(err, "write %s", name)
	}
	return errors.Wrapf(move(file.Name(), target), "write %s", name)
}

func writeAndClose(file *os.File, data []byte) error {
	_, err := file.Write(data)
	if err == nil {
		err = file.Chmod(0o644)
	}
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
