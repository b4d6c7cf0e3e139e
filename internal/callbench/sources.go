package callbench

import (
	"fmt"
	"testing/fstest"

	"github.com/bronzemast/bronzemast/config"
)

// The callers of the bench have equal shares.
const (
	callerCount  = 4
	greedyCaller = "caller-0"
)

func callerName(i int) string { return fmt.Sprintf("caller-%d", i) }

func credentialOf(name string) string { return "secret of " + name }

// templateText is the template of all services, a format string for the numbers of
// slots and connections.
const templateText = `{
  "template": "work",
  "parameters": {"slow_start": {"type": "duration", "default": "3s"}},
  "service": {
    "slots": %d, "connections": %d, "deadline": "3s", "slow_start": "${slow_start}", "retry_ratio": 0.1,
    "objective": {"availability": 0.999, "latency": "100ms"},
    "routes": [
      {"name": "read", "method": "GET", "path": "/read", "idempotent": true, "deadline": "3s"},
      {"name": "write", "method": "POST", "path": "/write", "idempotent": false, "deadline": "3s"}
    ]
  }
}`

// sources returns the configuration of the bench, with rate as the granted calls
// per second of each caller and service.
func sources(slots int, rate float64) (*config.Sources, error) {
	team := `{"team": "bench", "callers": [`
	grants := ""
	for i := range callerCount {
		name := callerName(i)
		team += fmt.Sprintf(`{"name": %q, "credentials": ["sha256:%s"]},`, name, config.DigestOf([]byte(credentialOf(name))))
		for _, service := range []string{mainService, deepService, stoppedService} {
			grants += fmt.Sprintf(`{"caller": %q, "service": %q, "routes": ["*"], "rate": %g, "burst": %d, "share": 1},`, name, service, rate, int(rate))
		}
	}
	team += `], "services": [`
	for _, service := range []string{mainService, deepService, stoppedService} {
		team += fmt.Sprintf(`{"name": %q, "template": "work"},`, service)
	}
	team += `], "grants": [` + grants + `]}`
	files := fstest.MapFS{
		"fleet.jsonc":          {Data: []byte(`{"fleet": "` + fleetName + `"}`)},
		"templates/work.jsonc": {Data: fmt.Appendf(nil, templateText, slots, connectionsPerTarget)},
		"teams/bench.jsonc":    {Data: []byte(team)},
	}
	loaded, findings := config.LoadFS(files)
	return loaded, findings.Err()
}

// nestedServices returns the services of nested calls, indexed by the number of
// calls that remain. The last call of a chain has a service of its own, whose
// targets can be stopped without affecting the others.
func nestedServices() []string {
	services := make([]string, nestedCallsPerCall+1)
	for i := range services {
		services[i] = deepService
	}
	services[1] = stoppedService
	return services
}
