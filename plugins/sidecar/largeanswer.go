package sidecar

import (
	"time"

	"github.com/bronzemast/bronzemast/model"
	"github.com/bronzemast/bronzemast/plugins/sidecar/uplink"
)

// answerBytesWeight is the weight of a new answer in the mean size of its route.
const answerBytesWeight = 0.1

// recordAnswerBytes updates the mean size of a route's answers. A length of -1 is not known.
func (i *instance) recordAnswerBytes(route string, length int64) {
	if length < 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	mean, known := i.meanAnswerBytes[route]
	if !known {
		mean = float64(length)
	}
	i.meanAnswerBytes[route] = mean + answerBytesWeight*(float64(length)-mean)
}

// expectedBytes returns the expected size of an answer of a route, 0 if there are no samples.
func (i *instance) expectedBytes(route string) int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return int64(i.meanAnswerBytes[route])
}

// recordAnswerBytes updates the mean size of the route's answers. A length of -1 is not known.
func (r *routeRecord) recordAnswerBytes(length int64) {
	switch {
	case length < 0:
	case r.meanAnswerBytes == 0:
		r.meanAnswerBytes = float64(length)
	default:
		r.meanAnswerBytes += answerBytesWeight * (float64(length) - r.meanAnswerBytes)
	}
}

// reserveLink reserves the host's link for an answer of an expected size that the caller must
// have within a time. The entry node's link to the caller is taken to need as long as this one.
func (s *targetSide) reserveLink(bytes int64, within time.Duration) (link *uplink.Reservation, wait time.Duration, ok bool) {
	return s.uplink.Reserve(bytes, within-s.uplink.Duration(bytes))
}

// linkFullAnswer returns the answer of a request whose answer could not be sent in time. wait is
// the time after which one like it can be.
func linkFullAnswer(wait time.Duration) *answer {
	a := notRunAnswer(model.ReasonLinkFull)
	a.RetryAfter, a.FullFor = wait, wait
	return a
}

// holdLink ties the reservation of an answer to it, with its actual size. An answer that turns
// out to be large gets one.
func (s *targetSide) holdLink(a *answer, link *uplink.Reservation) {
	if a.Outcome != model.OutcomeRan {
		link.Release()
		return
	}
	if link == nil {
		link = s.uplink.Add(a.body.size())
	}
	link.Resize(a.body.size())
	a.link = link
}

// recordLinkFull keeps requests with large answers from a target whose link is full.
func (r *targetRecord) recordLinkFull(fullFor time.Duration, now time.Time) {
	r.linkFullUntil = now.Add(fullFor)
}

// linkFull reports whether the target is expected to reject a request because of its link.
func (r *targetRecord) linkFull(request *placementRequest, now time.Time) bool {
	return request.answerBytes >= uplink.LargeBytes && now.Before(r.linkFullUntil)
}
