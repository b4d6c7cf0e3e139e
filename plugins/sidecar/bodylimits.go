package sidecar

import (
	"context"
	"net/http"

	"github.com/bronzemast/bronzemast/internal/connbudget"
)

// bodyLimits bounds a body.
type bodyLimits struct {
	// length is the declared length, -1 if it is unknown.
	length int64
	// max is the largest length, 0 if there is no limit. A longer body fails with errBodyTooLarge,
	// in readBody or while it is streamed.
	max int64
	// firstBuffer is the size of the first buffer in bytes.
	firstBuffer int
	// reserve reserves memory. It returns false if there is none.
	reserve func(bytes int64) bool
}

// requestLimits returns the limits of the body of a request, whose memory is reserved.
func requestLimits(r *http.Request, maxBytes int64) bodyLimits {
	limits := bodyLimits{length: r.ContentLength, max: maxBytes, reserve: connbudget.FromContext(r.Context()).Grow}
	limits.firstBuffer = min(limits.wholeBuffer(), requestBuffer)
	return limits
}

// answerLimits returns the limits of the body of an answer. The request has run, so that its answer
// is kept whatever memory is left.
func answerLimits(ctx context.Context, response *http.Response, method string) bodyLimits {
	reservation := connbudget.FromContext(ctx)
	limits := bodyLimits{length: answerLength(response, method), reserve: func(bytes int64) bool {
		reservation.Charge(bytes)
		return true
	}}
	limits.firstBuffer = limits.wholeBuffer()
	return limits
}

// wholeBuffer returns the size of a buffer that holds the whole body and shows that it ends, if its
// length is known.
func (l bodyLimits) wholeBuffer() int {
	if l.length < 0 {
		return unknownLengthBuffer
	}
	return int(l.length) + 1
}
