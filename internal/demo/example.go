package demo

import (
	"encoding/json"

	"github.com/bronzemast/bronzemast/examples"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// exampleHosts returns the hosts of the example, interleaved by service so that a
// small fleet has targets of both services.
func exampleHosts() (*model.HostList, error) {
	data, err := examples.Files.ReadFile(example + "/hosts.json")
	if err != nil {
		return nil, errors.Wrap(err, "read example hosts")
	}
	var list model.HostList
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "decode example hosts")
	}
	list.Hosts = interleave(list.Hosts)
	return &list, nil
}

// interleave reorders hosts so that those of different services alternate.
func interleave(hosts []model.Host) []model.Host {
	byService := map[string][]model.Host{}
	var services []string
	for _, h := range hosts {
		if byService[h.Service] == nil {
			services = append(services, h.Service)
		}
		byService[h.Service] = append(byService[h.Service], h)
	}
	var interleaved []model.Host
	for len(interleaved) < len(hosts) {
		for _, s := range services {
			if rest := byService[s]; len(rest) > 0 {
				interleaved = append(interleaved, rest[0])
				byService[s] = rest[1:]
			}
		}
	}
	return interleaved
}
