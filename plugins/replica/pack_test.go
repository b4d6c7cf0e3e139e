package replica

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/model"
)

// document returns a large value that differs slightly for each n.
func document(n int) []byte {
	var b strings.Builder
	for i := range 300 {
		fmt.Fprintf(&b, "route %d of service %x goes to %d;", i, i*7919, i*31)
	}
	fmt.Fprintf(&b, "change %d", n)
	return []byte(b.String())
}

func TestChangedDocumentIsSentAsDelta(t *testing.T) {
	g := NewWithT(t)
	sender, receiver := newCopy(), newCopy()
	first := model.Item{Key: "doc", Position: at(5), Data: document(1)}
	sender.apply([]model.Item{first}, at(5))
	receiver.apply([]model.Item{first}, at(5))
	second := model.Item{Key: "doc", Position: at(9), Data: document(2)}
	sender.apply([]model.Item{second}, at(9))

	var p packer
	base, ok := sender.base("doc", at(5))
	g.Expect(ok).To(BeTrue())
	packed := p.pack(outgoingItem{item: second, base: base})
	g.Expect(len(packed.Data)).To(BeNumerically("<", len(second.Data)/50))
	item, err := unpack(packed, testEra, func(key string) model.Item { return receiver.items[key] })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(item).To(Equal(second))
}

// A peer may hold a version that it received from elsewhere and that the copy never had,
// or that the copy has not kept. A delta from another version would corrupt the item.
func TestDeltaBaseIsVersionThatPeerHolds(t *testing.T) {
	g := NewWithT(t)
	c := newCopy()
	c.apply([]model.Item{{Key: "doc", Position: at(5), Data: document(1)}}, at(5))
	c.apply([]model.Item{{Key: "doc", Position: at(7), Data: []byte("{")}}, at(7))
	c.apply([]model.Item{{Key: "doc", Position: at(9), Data: document(2)}}, at(9))
	_, ok := c.base("doc", at(5))
	g.Expect(ok).To(BeTrue())
	for _, revision := range []uint64{0, 6, 7, 9} {
		_, ok = c.base("doc", at(revision))
		g.Expect(ok).To(BeFalse(), "revision %d", revision)
	}
	g.Expect(c.deltaBases()).To(Equal(map[string]model.Position{"doc": at(9)}))
}

func TestDeltaFromAnotherVersionIsRejected(t *testing.T) {
	g := NewWithT(t)
	var p packer
	packed := p.pack(outgoingItem{item: model.Item{Key: "doc", Position: at(9), Data: document(2)}, base: model.Item{Key: "doc", Position: at(5), Data: document(1)}})
	_, err := unpack(packed, testEra, func(string) model.Item { return model.Item{Key: "doc", Position: at(7), Data: document(3)} })
	g.Expect(err).To(MatchError(ContainSubstring("delta from revision 5, but position 1/7 is held")))
	packed.Data = packed.Data[:len(packed.Data)/2]
	_, err = unpack(packed, testEra, func(string) model.Item { return model.Item{Key: "doc", Position: at(5), Data: document(1)} })
	g.Expect(err).To(HaveOccurred())
}

func TestPeerFarBehindGetsWholeDocument(t *testing.T) {
	g := NewWithT(t)
	c := newCopy()
	for n := range 2 * maxPreviousVersions {
		c.apply([]model.Item{{Key: "doc", Position: at(uint64(n + 1)), Data: document(n)}}, at(uint64(n+1)))
	}
	_, ok := c.base("doc", at(1))
	g.Expect(ok).To(BeFalse())
	base, ok := c.base("doc", at(2*maxPreviousVersions-1))
	g.Expect(ok).To(BeTrue())
	g.Expect(base.Position).To(Equal(at(2*maxPreviousVersions - 1)))

	var p packer
	item := model.Item{Key: "doc", Position: at(99), Data: document(99)}
	whole, err := unpack(p.pack(outgoingItem{item: item}), testEra, func(string) model.Item { return model.Item{} })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(whole).To(Equal(item))
}

func TestItemThatPeerHoldsIsNotSentAgain(t *testing.T) {
	g := NewWithT(t)
	item := model.Item{Key: "doc", Position: at(5), Data: document(1)}
	var p packer
	packed := p.pack(outgoingItem{item: item, unchanged: true})
	g.Expect(packed.Data).To(BeEmpty())
	whole, err := unpack(packed, testEra, func(string) model.Item { return item })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(whole).To(Equal(item))
	_, err = unpack(packed, testEra, func(string) model.Item { return model.Item{Key: "doc", Position: at(4)} })
	g.Expect(err).To(MatchError(ContainSubstring("position 1/4 is held")))
}

func TestItemReceivedInTheMeantimeIsNoError(t *testing.T) {
	g := NewWithT(t)
	var p packer
	packed := p.pack(outgoingItem{item: model.Item{Key: "doc", Position: at(9), Data: document(2)}, base: model.Item{Key: "doc", Position: at(5), Data: document(1)}})
	later := model.Item{Key: "doc", Position: at(11), Data: document(3)}
	item, err := unpack(packed, testEra, func(string) model.Item { return later })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(item).To(Equal(later))
}

func TestChangesAreSentToPeersOutsideOfGap(t *testing.T) {
	g := NewWithT(t)
	c := newCopy()
	c.apply([]model.Item{{Key: "a", Position: at(1)}, {Key: "b", Position: at(2)}}, at(10))
	c.replace([]model.Item{{Key: "b", Position: at(2)}, {Key: "c", Position: at(15)}}, at(20))
	items, complete := c.since(at(10))
	g.Expect(complete).To(BeFalse())
	g.Expect(items).To(ConsistOf(model.Item{Key: "c", Position: at(15)}, model.Item{Key: "a", Position: at(20), Removed: true}))
	_, complete = c.since(at(14))
	g.Expect(complete).To(BeTrue(), "a peer within the gap may hold items whose removal the copy has not seen")
}
