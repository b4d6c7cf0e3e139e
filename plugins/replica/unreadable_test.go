package replica

import (
	"expvar"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bronzemast/bronzemast/config/ingress"
	"github.com/bronzemast/bronzemast/event"
	"github.com/bronzemast/bronzemast/model"
)

// panickingDecoder has a fault that items with the text "fatal" bring about.
type panickingDecoder struct{ fakeDecoder }

func (d panickingDecoder) Configuration(item model.Item) (*ingress.Document, error) {
	if string(item.Data) == "fatal" {
		panic("decoder fault")
	}
	return d.fakeDecoder.Configuration(item)
}

func (d panickingDecoder) Target(item model.Item) (*model.Target, error) {
	if string(item.Data) == "fatal" {
		panic("decoder fault")
	}
	return d.fakeDecoder.Target(item)
}

// Each node reads the same items, and reads them again after its restart.
func TestAnItemThatMakesTheDecoderPanicIsRefusedAlone(t *testing.T) {
	g := NewWithT(t)
	r := newReplica()
	r.log = event.NewDiscardLog()
	r.metrics = newMetrics(new(expvar.Map).Init())
	r.decoder = panickingDecoder{}
	r.self = netip.MustParseAddr("10.0.0.1")
	at := func(revision uint64) model.Position { return model.Position{Era: 1, Revision: revision} }
	items := []model.Item{
		{Key: configurationKey, Data: []byte("7"), Position: at(1)},
		{Key: "10.0.0.1:80", Data: []byte("domain"), Position: at(2)},
		{Key: "10.0.0.2:80", Data: []byte("fatal"), Position: at(3)},
	}
	r.apply(update{items: items, position: at(3), complete: true, confirmed: time.Now()})
	r.apply(update{items: []model.Item{{Key: configurationKey, Data: []byte("fatal"), Position: at(4)}}, position: at(4), confirmed: time.Now()})
	g.Expect(r.Table().Number).To(Equal(uint64(7)))
	g.Expect(r.Targets().ByID).To(HaveLen(1))
	g.Expect(r.metrics.unreadable.Value()).To(Equal(int64(1)))
	g.Expect(r.metrics.refused.Value()).To(Equal(int64(1)))
}
