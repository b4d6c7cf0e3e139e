package distribution

import (
	"time"

	"github.com/bronzemast/bronzemast/config"
	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/distribution/wire"
)

// input is an event that the engine processes.
type input interface {
	apply(e *engine, now time.Time)
}

type tickInput struct{}

func (tickInput) apply(e *engine, now time.Time) { e.tick(now) }

type openedInput struct {
	link     linkID
	hello    *wire.Hello
	outgoing bool
}

func (i openedInput) apply(e *engine, now time.Time) {
	e.handleOpened(i.link, i.hello, i.outgoing, now)
}

type receivedInput struct {
	link    linkID
	message wire.Message
	data    []byte
}

func (i receivedInput) apply(e *engine, now time.Time) {
	e.handleMessage(i.link, i.message, i.data, now)
}

type closedInput struct {
	link linkID
}

func (i closedInput) apply(e *engine, now time.Time) { e.handleClosed(i.link, now) }

type dialFailedInput struct {
	host       model.HostID
	rejected   bool
	retryAfter time.Duration
}

func (i dialFailedInput) apply(e *engine, now time.Time) {
	e.handleDialFailed(i.host, i.rejected, i.retryAfter, now)
}

type headInput struct {
	raw []byte
}

func (i headInput) apply(e *engine, now time.Time) { e.handleHead(i.raw, now) }

type fetchedInput struct {
	request fetchRequest
	release *config.Release
	err     error
}

func (i fetchedInput) apply(e *engine, now time.Time) {
	e.handleFetched(i.request, i.release, i.err, now)
}

type hostListInput struct {
	list *model.HostList
}

func (i hostListInput) apply(e *engine, now time.Time) { e.handleHostList(i.list, now) }

type noticeInput struct {
	notice model.Notice
}

func (i noticeInput) apply(e *engine, _ time.Time) { e.flood(&wire.Notice{Notice: i.notice}, 0) }

type observedInput struct {
	peer   model.HostID
	number uint64
}

func (i observedInput) apply(e *engine, now time.Time) {
	e.handleObservedRelease(i.peer, i.number, now)
}

type stopInput struct {
	done chan struct{}
}

func (i stopInput) apply(e *engine, now time.Time) {
	e.stop(now)
	close(i.done)
}
