package peersyncer

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// FuzzRows decodes arbitrary bytes as the rows of a peer: on an error, no entries are returned.
func FuzzRows(f *testing.F) {
	text, err := cbor.Marshal([]rowMessage{{Table: "t", Key: "k", Value: []byte("v"), Version: 3}})
	require.NoError(f, err)
	f.Add(text)
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		entries, err := decodeRows(b)
		if err != nil {
			assert.Nil(t, entries)
		}
	})
}
