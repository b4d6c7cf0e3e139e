// Package operators sends requests to the operator addresses of many nodes.
package operators

import (
	"net"
	"net/netip"
	"os"
	"strconv"

	"github.com/bronzemast/bronzemast/finding"
	"github.com/bronzemast/bronzemast/internal/jsonc"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// MaxFileBytes is the maximum size of a file that lists nodes or hosts.
const MaxFileBytes = 16 << 20

// Node is a node and its operator address.
type Node struct {
	// ID is empty if only an address was given on the command line.
	ID      model.HostID `json:"id"`
	Address string       `json:"operator"`
}

// String returns the ID, or the address if the ID is unknown.
func (n Node) String() string {
	if n.ID != "" {
		return string(n.ID)
	}
	return n.Address
}

// nodesFile is the content of a file that lists nodes, in JSON with comments.
type nodesFile struct {
	Nodes []Node `json:"nodes"`
}

// ReadNodes reads a file of the form {"nodes":[{"id":"...","operator":"IP:port"}]}.
// Errors in the content are returned together as a *finding.Errors.
func ReadNodes(file string) ([]Node, error) {
	data, err := readBounded(file)
	if err != nil {
		return nil, err
	}
	var findings finding.List
	var raw nodesFile
	doc := jsonc.Decode(file, data, &raw, &findings)
	for i, n := range raw.Nodes {
		if _, err := netip.ParseAddrPort(n.Address); err != nil {
			path := "nodes[" + strconv.Itoa(i) + "].operator"
			findings.Errorf(doc.Place(path), "%q is not an IP address and port", n.Address)
		}
	}
	return raw.Nodes, findings.Err()
}

// ReadHosts reads a host list and returns the operator address of each host, which
// consists of the IP address of its peer address and the given port. Errors in the
// content are returned together as a *finding.Errors.
func ReadHosts(file string, port uint16) ([]Node, error) {
	data, err := readBounded(file)
	if err != nil {
		return nil, err
	}
	var findings finding.List
	var list model.HostList
	doc := jsonc.Decode(file, data, &list, &findings)
	nodes := make([]Node, 0, len(list.Hosts))
	for i, h := range list.Hosts {
		address, err := netip.ParseAddrPort(h.PeerAddress)
		if err != nil {
			path := "hosts[" + strconv.Itoa(i) + "].peer_address"
			findings.Errorf(doc.Place(path), "%q is not an IP address and port", h.PeerAddress)
			continue
		}
		nodes = append(nodes, Node{ID: h.ID, Address: netip.AddrPortFrom(address.Addr(), port).String()})
	}
	return nodes, findings.Err()
}

func readBounded(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, errors.Wrap(err, "read nodes")
	}
	if info.Size() > MaxFileBytes {
		return nil, errors.Errorf("%s: %d bytes, more than the limit of %d", file, info.Size(), MaxFileBytes)
	}
	data, err := os.ReadFile(file)
	return data, errors.Wrap(err, "read nodes")
}

// CheckAddress returns an error if text does not have the form host:port.
func CheckAddress(text string) error {
	_, _, err := net.SplitHostPort(text)
	return errors.Wrapf(err, "operator address %q", text)
}
