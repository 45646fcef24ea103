package relayer

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/inspector"
)

// endIfUnsendable answers the request with 400 if the error of an attempt says that it can never be sent, and reports whether it
// does.
func (q *request) endIfUnsendable(err error) bool {
	field := (*inspector.FieldError)(nil)
	if !errors.As(err, &field) {
		return false
	}
	q.runs--
	if q.hasAnswer {
		q.decision, q.mustAbort = "cut", true
		return true
	}
	q.fail(http.StatusBadRequest, "invalid", err.Error())
	return true
}
