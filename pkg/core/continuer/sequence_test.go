package continuer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSequence(t *testing.T) {
	cases := []struct {
		name      string
		last      int64
		ids       []int64
		failsAt   int
		canResume bool
	}{
		{"consecutive", NoEvent, []int64{0, 1, 2}, -1, true},
		{"first id is the endpoint's choice", NoEvent, []int64{1, 2}, -1, true},
		{"continued", 4, []int64{5, 6}, -1, true},
		{"missing", NoEvent, []int64{0, 2}, 1, true},
		{"twice", NoEvent, []int64{0, 0}, 1, true},
		{"back", NoEvent, []int64{3, 2}, 1, true},
		{"continued too late", 4, []int64{6}, 0, true},
		{"begun anew", 4, []int64{0}, 0, true},
		{"no id after one", 4, []int64{NoEvent}, 0, true},
		{"no ids at all", NoEvent, []int64{NoEvent, NoEvent}, -1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewSequence(c.last)
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
