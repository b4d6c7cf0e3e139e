package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/cli"
	"github.com/pkg/errors"
)

// findingReport is the JSON output of the findings of a configuration.
type findingReport struct {
	OK       bool              `json:"ok"`
	Errors   int               `json:"errors"`
	Warnings int               `json:"warnings"`
	Findings []finding.Finding `json:"findings"`
}

func newFindingReport(findings *finding.List) findingReport {
	report := findingReport{OK: !findings.Failed(), Findings: []finding.Finding{}}
	for _, f := range findings.All() {
		report.Findings = append(report.Findings, f)
		if f.Severity == finding.Error {
			report.Errors++
		} else {
			report.Warnings++
		}
	}
	return report
}

// printFindings writes one finding per line.
func printFindings(w io.Writer, findings *finding.List) {
	for _, f := range findings.All() {
		fmt.Fprintln(w, f)
	}
}

// openConfiguration compiles a source directory or a release of a bundle tree.
// "TREE@N" selects release N of a tree; without "@N" the newest one is used.
func openConfiguration(name string) (*config.Snapshot, *finding.List, error) {
	dir, number, err := splitRelease(name)
	if err != nil {
		return nil, nil, err
	}
	if number == 0 && isFile(filepath.Join(dir, config.FleetFile)) {
		snapshot, findings := config.Check(config.LoadDir(dir))
		return snapshot, findings, nil
	}
	release, err := config.OpenTree(dir).Read(number)
	if err != nil {
		return nil, nil, err
	}
	snapshot, findings := config.Compile(release)
	return snapshot, findings, nil
}

// splitRelease splits "TREE@N" into the directory and the release number, which
// is 0 if the name has none. The name of an existing directory is not split.
func splitRelease(name string) (dir string, number uint64, err error) {
	cut := strings.LastIndexByte(name, '@')
	if cut < 0 || isDir(name) {
		return name, 0, nil
	}
	number, err = strconv.ParseUint(name[cut+1:], 10, 64)
	if err != nil || number == 0 {
		return "", 0, errors.Errorf("%s: %q is not a release number", name, name[cut+1:])
	}
	return name[:cut], number, nil
}

func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular()
}

func isDir(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.IsDir()
}

// findingsError returns cli.ErrReported if any finding is an error or, if strict
// is set, if there is any finding at all.
func findingsError(findings *finding.List, strict bool) error {
	if findings.Failed() || strict && findings.Len() > 0 {
		return cli.ErrReported
	}
	return nil
}
