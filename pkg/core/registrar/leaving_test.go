package registrar

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestLeavingHoldsForOneIncarnation checks that an endpoint that said it leaves stays leaving whatever its row says, that a later
// incarnation under its id is not affected, and that malformed keys change nothing.
func TestLeavingHoldsForOneIncarnation(t *testing.T) {
	l := Leaving{}
	first, second := Endpoint{ID: "a@b", StartedAtMs: 5}, Endpoint{ID: "a@b", StartedAtMs: 9}
	assert.True(t, l.Add(first.LeavingKey()))
	assert.False(t, l.Add(first.LeavingKey()), "it is known already")
	assert.True(t, l.Apply(first).IsDraining)
	assert.False(t, l.Apply(second).IsDraining)
	assert.True(t, l.Add(second.LeavingKey()))
	assert.False(t, l.Add(first.LeavingKey()), "an update about an older incarnation comes late")
	assert.True(t, l.Apply(second).IsDraining)
	for _, key := range []string{"", "@", "a", "@5", "a@", "a@x"} {
		assert.False(t, l.Add(key), key)
	}
	assert.Len(t, l, 1)
}
