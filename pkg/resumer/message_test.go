package resumer

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/continuer"
)

func TestMessagesFitAPacket(t *testing.T) {
	list := make([]continuer.Beginning, maxBeginnings)
	for i := range list {
		list[i] = continuer.Beginning{Stream: ^continuer.Stream(i), Software: 1<<64 - 1}
	}
	b, err := encodeBegun(list)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(b), maxMessageBytes)
	m, err := decode(b)
	require.NoError(t, err)
	assert.Equal(t, list, m.(begunMessage).beginnings())
	for kind, m := range map[byte]message{
		askType: askMessage{VM: "v", Number: 7, Stream: 8}, answerType: answerMessage{Number: 7, IsKnown: true, Software: 9},
	} {
		b, err := encode(kind, m)
		require.NoError(t, err)
		got, err := decode(b)
		require.NoError(t, err)
		assert.Equal(t, m, got)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{begunType, 0x81, 0x81, 0x82, 1, 2})
	f.Add([]byte{askType, 0x83, 0x61, 'v', 1, 2})
	f.Add([]byte{answerType, 0x83, 1, 0xf5, 2})
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := decode(b); err == nil {
			assert.NotNil(t, m)
			assert.True(t, isOwn(b))
		}
	})
}
