package replica

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/model"
)

func TestOnlyTheLatestIncarnationAtAnAddressIsListed(t *testing.T) {
	const here, elsewhere = "10.0.0.1:80", "10.0.0.2:80"
	entry := func(id, address, service string, startedAt int64, revision uint64) *model.Target {
		return &model.Target{
			ID: model.TargetID(id), Address: netip.MustParseAddrPort(address), Service: service,
			StartedAt: time.UnixMilli(startedAt), Position: model.Position{Era: 1, Revision: revision},
		}
	}
	old := entry("old", here, "alpha", 1000, 5)
	for name, c := range map[string]struct {
		other  *model.Target
		listed []model.TargetID
	}{
		"a later incarnation":          {entry("new", here, "alpha", 2000, 9), []model.TargetID{"new"}},
		"of another service":           {entry("new", here, "beta", 2000, 9), []model.TargetID{"new", "old"}},
		"at another address":           {entry("new", elsewhere, "alpha", 2000, 9), []model.TargetID{"new", "old"}},
		"without its start":            {entry("new", here, "alpha", 0, 9), []model.TargetID{"new", "old"}},
		"with an earlier entry":        {entry("new", here, "alpha", 2000, 3), []model.TargetID{"new", "old"}},
		"an earlier one, written late": {entry("new", here, "alpha", 500, 9), []model.TargetID{"new", "old"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			entries := newTargets()
			for _, e := range []*model.Target{old, c.other} {
				entries.set(e, model.Item{Key: string(e.ID)}, time.Now())
			}
			list := entries.list(model.Position{Era: 1, Revision: 9}, newEvacuations().apply)
			var listed []model.TargetID
			for id := range list.ByID {
				listed = append(listed, id)
			}
			g.Expect(listed).To(ConsistOf(c.listed))
			inServices := 0
			for _, instances := range list.ByService {
				inServices += len(instances)
			}
			g.Expect(inServices).To(Equal(len(c.listed)))
		})
	}
}

// Power was lost everywhere: each target is listed under a new ID beside its old entry. The list
// has each target once.
func TestAFleetThatLostPowerIsListedOnce(t *testing.T) {
	g := NewWithT(t)
	entries := newTargets()
	const hosts = 300
	for incarnation := range 2 {
		for i := range hosts {
			id := model.TargetID(string(rune('a'+incarnation)) + netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}).String())
			entries.set(&model.Target{
				ID: id, Service: "alpha", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 80),
				StartedAt: time.UnixMilli(int64(1000 * (incarnation + 1))),
				Position:  model.Position{Era: 1, Revision: uint64(incarnation*hosts + i + 1)},
			}, model.Item{Key: string(id)}, time.Now())
		}
	}
	list := entries.list(model.Position{Era: 1, Revision: 2 * hosts}, newEvacuations().apply)
	g.Expect(list.ByService["alpha"]).To(HaveLen(hosts))
	g.Expect(list.Hosts).To(HaveLen(hosts))
	for _, t := range list.ByService["alpha"] {
		g.Expect(string(t.ID)).To(HavePrefix("b"))
	}
}
