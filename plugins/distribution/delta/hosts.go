// Package delta encodes releases and host lists as compressed deltas from an
// earlier revision, or in full if there is none.
package delta

import (
	"sort"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/internal/strictcbor"
	"github.com/bronzemast/bronzemast/internal/zdelta"
	"github.com/bronzemast/bronzemast/model"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Limits of a host list.
const (
	// MaxHosts is the maximum number of hosts.
	MaxHosts = 16384
	// MaxHostsBytes is the maximum size of the encoded list.
	MaxHostsBytes     = 8 << 20
	maxHostIDBytes    = 128
	maxHostListLevels = 4
)

// Hosts is a host list with its canonical encoding.
type Hosts struct {
	List *model.HostList
	// Raw is the canonical encoding, in which hosts are sorted by ID.
	Raw    []byte
	Digest config.Digest
}

var (
	encoding      = newEncoding()
	hostsDecoding = newHostsDecoding()
)

func newEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func newHostsDecoding() cbor.DecMode {
	return strictcbor.NewDecMode(cbor.DecOptions{
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: MaxHosts,
		MaxNestedLevels:  maxHostListLevels,
	})
}

// NewHosts validates a host list and encodes it in canonical form. It does not
// modify list.
func NewHosts(list *model.HostList) (*Hosts, error) {
	sorted := &model.HostList{
		Revision: list.Revision,
		Hosts:    append([]model.Host(nil), list.Hosts...),
	}
	sort.SliceStable(sorted.Hosts, func(i, j int) bool { return sorted.Hosts[i].ID < sorted.Hosts[j].ID })
	if err := checkHosts(sorted); err != nil {
		return nil, err
	}
	raw, err := encoding.Marshal(sorted)
	if err != nil {
		return nil, errors.Wrap(err, "encode host list")
	}
	return &Hosts{List: sorted, Raw: raw, Digest: config.DigestOf(raw)}, nil
}

// EncodeHosts encodes target as a compressed delta from base, or in full if base
// is nil.
func EncodeHosts(base, target *Hosts) ([]byte, error) {
	return zdelta.Compress(target.Raw, hostsRaw(base))
}

// DecodeHosts decodes the result of EncodeHosts, given the same base. The caller
// must check the digest of the result.
func DecodeHosts(base *Hosts, data []byte) (*Hosts, error) {
	raw, err := zdelta.Decompress(data, hostsRaw(base), MaxHostsBytes)
	if err != nil {
		return nil, errors.Wrap(err, "host list")
	}
	var list model.HostList
	if err := hostsDecoding.Unmarshal(raw, &list); err != nil {
		return nil, errors.Wrap(err, "host list")
	}
	if err := checkHosts(&list); err != nil {
		return nil, err
	}
	return &Hosts{List: &list, Raw: raw, Digest: config.DigestOf(raw)}, nil
}

func checkHosts(list *model.HostList) error {
	if list.Revision == 0 {
		return errors.New("host list: revision is missing")
	}
	if len(list.Hosts) > MaxHosts {
		return errors.Errorf("host list: %d hosts, more than the limit of %d", len(list.Hosts), MaxHosts)
	}
	for i := range list.Hosts {
		id := list.Hosts[i].ID
		if id == "" || len(id) > maxHostIDBytes {
			return errors.Errorf("host list: ID of host %d has an invalid length of %d bytes", i, len(id))
		}
		if i > 0 && list.Hosts[i-1].ID >= id {
			return errors.Errorf("host list: host %q is out of order or a duplicate", id)
		}
	}
	return nil
}

func hostsRaw(h *Hosts) []byte {
	if h == nil {
		return nil
	}
	return h.Raw
}
