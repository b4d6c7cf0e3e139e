package config

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"path"
	"strings"

	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/pkg/errors"
)

// Names in a source directory.
const (
	FleetFile    = "fleet.jsonc"
	TemplatesDir = "templates"
	TeamsDir     = "teams"

	sourceSuffix = ".jsonc"
)

// minKeptReleases is the smallest number of releases to keep, since nodes may still
// be reading the one before the newest.
const minKeptReleases = 2

// Sources are the source files of a release.
type Sources struct {
	// Fleet names the deployment.
	Fleet string
	// KeptReleases is the number of releases to keep in a bundle tree; 0 keeps all.
	KeptReleases int
	// Files are the templates and team files.
	Files []SourceFile
}

// SourceFile is a file that becomes a part of a release.
type SourceFile struct {
	Kind PartKind
	// Name is the slash-separated path in the source directory.
	Name string
	Data []byte
}

// fleetFile is the JSON structure of FleetFile.
type fleetFile struct {
	Fleet        string `json:"fleet"`
	KeepReleases int    `json:"keep_releases"`
}

// LoadDir does the same as LoadFS for a directory of the operating system.
func LoadDir(dir string) (*Sources, *finding.List) {
	return LoadFS(os.DirFS(dir))
}

// LoadFS reads the source directory at the root of files. It checks the number and
// size of the files; Compile checks their contents.
func LoadFS(files fs.FS) (*Sources, *finding.List) {
	l := &loader{files: files, sources: &Sources{}, findings: &finding.List{}}
	l.loadFleet()
	l.loadParts(PartTemplate, TemplatesDir)
	l.loadParts(PartTeam, TeamsDir)
	if len(l.sources.Files) > MaxParts {
		l.findings.Errorf(finding.Place{}, "%d files, more than the limit of %d", len(l.sources.Files), MaxParts)
	}
	return l.sources, l.findings
}

type loader struct {
	files    fs.FS
	sources  *Sources
	findings *finding.List
	bytes    int
}

func (l *loader) loadFleet() {
	data, ok := l.read(FleetFile)
	if !ok {
		return
	}
	var raw fleetFile
	doc := jsonc.Decode(FleetFile, data, &raw, l.findings)
	l.sources.Fleet = raw.Fleet
	l.sources.KeptReleases = raw.KeepReleases
	if doc.Has("") && !ValidName(raw.Fleet) {
		l.findings.Errorf(doc.Place("fleet"), "%s is not %s", quote(raw.Fleet), nameRule)
	}
	if raw.KeepReleases != 0 && raw.KeepReleases < minKeptReleases {
		l.findings.Errorf(doc.Place("keep_releases"), "%d is neither 0, to keep all releases, nor at least %d", raw.KeepReleases, minKeptReleases)
	}
}

func (l *loader) loadParts(kind PartKind, dir string) {
	entries, err := fs.ReadDir(l.files, dir)
	if err != nil {
		l.findings.Errorf(finding.Place{File: dir}, "%v", withoutPath(err))
		return
	}
	for _, entry := range entries {
		name := dir + "/" + entry.Name()
		if strings.HasPrefix(entry.Name(), ".") {
			continue
		}
		if entry.IsDir() || path.Ext(entry.Name()) != sourceSuffix {
			l.findings.Warnf(finding.Place{File: name}, "is not a %s file and is ignored", sourceSuffix)
			continue
		}
		if data, ok := l.read(name); ok {
			l.sources.Files = append(l.sources.Files, SourceFile{Kind: kind, Name: name, Data: data})
		}
	}
}

// read returns the contents of a file unless it is too large, alone or together
// with the files read before it.
func (l *loader) read(name string) ([]byte, bool) {
	data, err := readBounded(l.files, name, MaxPartBytes)
	if err != nil {
		l.findings.Errorf(finding.Place{File: name}, "%v", withoutPath(err))
		return nil, false
	}
	l.bytes += len(data)
	if l.bytes > MaxReleaseBytes {
		l.findings.Errorf(finding.Place{File: name}, "all files together have more than the limit of %d bytes", MaxReleaseBytes)
		return nil, false
	}
	return data, true
}

// readBounded reads a file of at most limit bytes.
func readBounded(files fs.FS, name string, limit int64) ([]byte, error) {
	file, err := files.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // opened for reading only
	data, err := io.ReadAll(io.LimitReader(file, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errors.Errorf("more than the limit of %d bytes", limit)
	}
	return data, nil
}

// withoutPath removes the path from an error whose place already names the file.
func withoutPath(err error) error {
	var pathErr *fs.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err
	}
	return err
}

// Build builds a release from sources. previous is the record of the previous
// release, nil for the first one.
func Build(s *Sources, number uint64, previous *Record) (*Release, error) {
	record := Record{Format: FormatVersion, Fleet: s.Fleet, Number: number}
	if err := record.setPrevious(previous); err != nil {
		return nil, err
	}
	parts := make(map[Digest][]byte, len(s.Files))
	for _, f := range s.Files {
		digest := DigestOf(f.Data)
		parts[digest] = f.Data
		record.Parts = append(record.Parts, PartRef{Kind: f.Kind, Name: f.Name, Digest: digest, Size: len(f.Data)})
	}
	SortParts(record.Parts)
	record.ContentDigest = DigestParts(record.Parts)
	raw, err := record.Encode()
	if err != nil {
		return nil, err
	}
	release, err := Assemble(raw, parts)
	return release, errors.Wrap(err, "build release")
}

// setPrevious checks that r can follow the previous record and links r to it.
func (r *Record) setPrevious(previous *Record) error {
	if previous == nil {
		return nil
	}
	if previous.Fleet != r.Fleet {
		return errors.Errorf("the previous release belongs to fleet %q, not %q", previous.Fleet, r.Fleet)
	}
	if previous.Number >= r.Number {
		return errors.Errorf("release %d does not follow release %d", r.Number, previous.Number)
	}
	raw, err := previous.Encode()
	if err != nil {
		return err
	}
	r.Previous = previous.Number
	r.PreviousDigest = DigestOf(raw)
	return nil
}

// Check compiles sources without writing a release. It returns the given findings
// of loading the sources together with those of the compilation.
func Check(s *Sources, findings *finding.List) (*Snapshot, *finding.List) {
	all := &finding.List{}
	all.Append(findings)
	candidate := *s
	if !ValidName(candidate.Fleet) {
		candidate.Fleet = "unnamed" // LoadFS has reported the invalid name
	}
	release, err := Build(&candidate, 1, nil)
	if err != nil {
		all.Errorf(finding.Place{}, "%v", err)
		return nil, all
	}
	snapshot, compiled := Compile(release)
	all.Append(compiled)
	if all.Failed() {
		return nil, all
	}
	return snapshot, all
}

// String returns the name of the kind.
func (k PartKind) String() string {
	switch k {
	case PartTemplate:
		return "template"
	case PartTeam:
		return "team"
	default:
		return fmt.Sprintf("kind %d", uint8(k))
	}
}
