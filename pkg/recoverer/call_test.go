package recoverer

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
)

func TestCallReturnsAPanicAsAnError(t *testing.T) {
	err := Call(func() error { panic("forced") })
	panicked := (*PanicError)(nil)
	assert.ErrorAs(t, err, &panicked)
	assert.Equal(t, "panic: forced", err.Error())
	assert.Contains(t, string(panicked.Stack), "TestCallReturnsAPanicAsAnError")

	failed := errors.New("failed")
	assert.Equal(t, failed, Call(func() error { return failed }))
	assert.NoError(t, Call(func() error { return nil }))
}
