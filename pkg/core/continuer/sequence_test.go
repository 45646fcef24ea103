package continuer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSequence(t *testing.T) {
	const noError = -1
	cases := []struct {
		name string
		last int64
		// ids are those of the events of one answer; the one at failsAt does not follow.
		ids       []int64
		failsAt   int
		canResume bool
	}{
		{"consecutive", NoEvent, []int64{0, 1, 2}, noError, true},
		{"first id is the endpoint's choice", NoEvent, []int64{1, 2}, noError, true},
		{"increasing", NoEvent, []int64{0, 2, 7}, noError, true},
		{"continued", 4, []int64{5, 6}, noError, true},
		{"twice", NoEvent, []int64{0, 0}, 1, true},
		{"back", NoEvent, []int64{3, 2}, 1, true},
		{"back after it was continued", 4, []int64{5, 5}, 1, true},
		{"continued too late", 4, []int64{6}, 0, true},
		{"begun anew", 4, []int64{0}, 0, true},
		{"continued without an id", 4, []int64{NoEvent}, 0, true},
		{"an event without an id", NoEvent, []int64{0, NoEvent, 1}, noError, false},
		{"no ids at all", NoEvent, []int64{NoEvent, NoEvent}, noError, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewSequence(c.last)
			s.Begin()
			for n, id := range c.ids {
				last, err := s.Last(), s.Add(id)
				if n != c.failsAt {
					require.NoError(t, err)
					continue
				}
				gap := (*GapError)(nil)
				require.ErrorAs(t, err, &gap)
				assert.Equal(t, GapError{After: last, Event: id}, *gap)
				assert.Equal(t, last, s.Last(), "an event that does not follow changes nothing")
				break
			}
			assert.Equal(t, c.canResume, s.CanResume())
		})
	}
}
