package source

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/kernel"
	"github.com/bronzemast/bronzemast/model"
)

// maxHosts bounds the number of hosts in a host list.
const maxHosts = 20000

// parseHosts decodes and validates a host list. A list with any error is rejected
// as a whole; the returned error is a *finding.Errors with all of them.
func parseHosts(data []byte) (*model.HostList, error) {
	var findings finding.List
	var list model.HostList
	if len(data) > model.MaxValueBytes {
		findings.Errorf(hostsPlace(""), "%d bytes, more than the limit of %d", len(data), model.MaxValueBytes)
		return nil, findings.Err()
	}
	if err := json.Unmarshal(data, &list); err != nil {
		findings.Errorf(hostsPlace(""), "%v", err)
		return nil, findings.Err()
	}
	c := hostListChecker{findings: &findings, ids: map[model.HostID]int{}, addresses: map[string]int{}}
	c.list(&list)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return &list, nil
}

func hostsPlace(field string) finding.Place {
	return finding.Place{File: model.KeyHosts, Field: field}
}

// hostListChecker validates a host list and collects the findings. The maps hold
// the index of the first host with an ID or address.
type hostListChecker struct {
	findings  *finding.List
	ids       map[model.HostID]int
	addresses map[string]int
}

func (c *hostListChecker) list(list *model.HostList) {
	if list.Revision == 0 {
		c.findings.Errorf(hostsPlace("revision"), "must be above 0")
	}
	if len(list.Hosts) == 0 {
		c.findings.Errorf(hostsPlace("hosts"), "must not be empty")
	}
	if len(list.Hosts) > maxHosts {
		c.findings.Errorf(hostsPlace("hosts"), "%d hosts, more than the limit of %d", len(list.Hosts), maxHosts)
		return
	}
	for i := range list.Hosts {
		c.host(i, &list.Hosts[i])
	}
}

func (c *hostListChecker) host(i int, h *model.Host) {
	c.name(i, "id", string(h.ID))
	c.name(i, "region", h.Region)
	c.name(i, "failure_domain", h.Domain)
	if h.Service != "" {
		c.name(i, "service", h.Service)
	}
	if first, duplicate := c.ids[h.ID]; duplicate {
		c.errorf(i, "id", "%q is also the ID of hosts[%d]", h.ID, first)
	} else {
		c.ids[h.ID] = i
	}
	c.address(i, "call_address", h.CallAddress)
	c.address(i, "peer_address", h.PeerAddress)
}

func (c *hostListChecker) name(i int, field, value string) {
	if !kernel.ValidName(value) {
		c.errorf(i, field, "%q is not a name", value)
	}
}

// address checks that value is an IP address and port that no other field of the
// list uses.
func (c *hostListChecker) address(i int, field, value string) {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		c.errorf(i, field, "%q is not an IP address and port", value)
		return
	}
	if first, duplicate := c.addresses[value]; duplicate {
		c.errorf(i, field, "%q is also an address of hosts[%d]", value, first)
		return
	}
	c.addresses[value] = i
}

func (c *hostListChecker) errorf(i int, field, format string, args ...any) {
	c.findings.Errorf(hostsPlace(fmt.Sprintf("hosts[%d].%s", i, field)), format, args...)
}
