package convergebench

import (
	"fmt"
	"testing/fstest"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/observe"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	fleetName = "converge"
	// callersPerTeam is the number of callers that each team defines, each with a
	// grant for the team's service.
	callersPerTeam = 4
	// initialRate is the granted rate of each caller in the first release, in calls
	// per second.
	initialRate = 1000
)

// templateText is the template of all services.
const templateText = `{
  "template": "service",
  "service": {
    "slots": 10, "connections": 100, "deadline": "3s", "slow_start": "3s", "retry_ratio": 0.1,
    "objective": {"availability": 0.999, "latency": "100ms"},
    "routes": [
      {"name": "read", "method": "GET", "path": "/read", "idempotent": true, "deadline": "3s"},
      {"name": "write", "method": "POST", "path": "/write", "idempotent": false, "deadline": "3s"}
    ]
  }
}`

func teamFile(i int) string {
	return fmt.Sprintf("teams/team-%03d.jsonc", i)
}

// teamText returns the configuration file of a team with one service.
func teamText(i int) string {
	callers, grants := "", ""
	for c := range callersPerTeam {
		name := fmt.Sprintf("caller-%03d-%d", i, c)
		separator := ","
		if c == callersPerTeam-1 {
			separator = ""
		}
		digest := config.DigestOf([]byte("secret of " + name))
		callers += fmt.Sprintf(`    {"name": %q, "credentials": ["sha256:%s"]}%s`+"\n", name, digest, separator)
		grants += fmt.Sprintf(`    {"caller": %q, "service": "service-%03d", "routes": ["*"], "rate": %d, "burst": 100, "share": 1}%s`+"\n",
			name, i, initialRate, separator)
	}
	return fmt.Sprintf(`{
  "team": "team-%03d",
  "callers": [
%s  ],
  "services": [{"name": "service-%03d", "template": "service"}],
  "grants": [
%s  ]
}
`, i, callers, i, grants)
}

// newSources returns the configuration of the given number of services, each with a
// team of its own.
func newSources(services int) (*config.Sources, error) {
	files := fstest.MapFS{
		"fleet.jsonc":             {Data: []byte(`{"fleet": "` + fleetName + `"}`)},
		"templates/service.jsonc": {Data: []byte(templateText)},
	}
	for i := range services {
		files[teamFile(i)] = &fstest.MapFile{Data: []byte(teamText(i))}
	}
	loaded, findings := config.LoadFS(files)
	return loaded, findings.Err()
}

// withChangedRate returns the sources with one rate of one team changed.
func withChangedRate(s *config.Sources, services, number int) (*config.Sources, error) {
	return observe.WithRate(s, teamFile(number%services), initialRate+number)
}

// delta holds the compressed sizes in bytes of the differences between two releases,
// each value compressed with the old value of its name as dictionary.
type delta struct {
	// parts is the size of the changed parts, release that of the changed parts and
	// the record.
	parts, release int
}

// deltaBetween returns the minimum size of the data that a node must receive for the
// change from one release to the next.
func deltaBetween(before, after *config.Release) (delta, error) {
	old := map[string][]byte{}
	for _, ref := range before.Record.Parts {
		old[ref.Name] = before.Parts[ref.Digest]
	}
	var d delta
	for _, ref := range after.Record.Parts {
		if _, found := before.Parts[ref.Digest]; found {
			continue
		}
		n, err := compressedBytes(after.Parts[ref.Digest], old[ref.Name])
		if err != nil {
			return delta{}, err
		}
		d.parts += n
	}
	record, err := compressedBytes(after.Raw, before.Raw)
	d.release = d.parts + record
	return d, err
}

// compressedBytes returns the compressed size of data in bytes. The dictionary may be
// empty.
func compressedBytes(data, dictionary []byte) (int, error) {
	options := []zstd.EOption{zstd.WithEncoderLevel(zstd.SpeedBestCompression)}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(1, dictionary))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return 0, errors.Wrap(err, "compress delta")
	}
	defer func() { _ = encoder.Close() }() // nothing is buffered
	return len(encoder.EncodeAll(data, nil)), nil
}
