package observe

import (
	"bytes"
	"io"
	"net/http"

	"github.com/bronzemast/bronzemast/internal/invariant"
	"github.com/bronzemast/bronzemast/internal/standin/target"
	"github.com/bronzemast/bronzemast/model"
)

// maxResponseBytes bounds the size of a response body that is read.
const maxResponseBytes = 1 << 20

// ReadResponse reads the response to the call id and checks whether it belongs to that
// call and is complete. The body should have size bytes, or the least number if size
// is 0. A connection that breaks within the body is returned as an error, because the
// caller notices it, and does not make the response incomplete.
func ReadResponse(id string, size int, response *http.Response) (invariant.Response, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	result := invariant.Response{
		CallID:   id,
		Outcome:  model.ParseOutcome(response.Header.Get(model.HeaderOutcome)),
		Complete: true,
	}
	if err != nil {
		result.Outcome = model.OutcomeUnknown
		return result, err
	}
	if result.Outcome == model.OutcomeRan && response.StatusCode == http.StatusOK {
		result.BelongsTo = id
		if !bytes.Contains(body, []byte(id+" ")) {
			result.BelongsTo = "another call"
		}
		result.Complete = target.VerifyResponse(id, size, body) == nil
	}
	return result, nil
}
