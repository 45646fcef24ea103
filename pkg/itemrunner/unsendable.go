package itemrunner

import (
	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/inspector"
)

// isUnsendable reports whether the error of a run says that the item can never be sent.
func isUnsendable(err error) bool {
	field := (*inspector.FieldError)(nil)
	return errors.As(err, &field)
}
