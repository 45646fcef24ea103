package encoder

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEventsRoundTrip(t *testing.T) {
	b := bytes.Buffer{}
	require.NoError(t, WriteEvent(&b, 1, Chunk{ID: "a", Choices: []ChunkChoice{{Delta: Delta{Content: "lime\nkiln"}}}}))
	require.NoError(t, WriteDone(&b))
	events := []Event{}
	require.NoError(t, ReadEvents(&b, func(ev Event) bool {
		events = append(events, ev)
		return true
	}))
	require.Len(t, events, 2)
	assert.Equal(t, 1, events[0].Offset)
	assert.Equal(t, "lime\nkiln", events[0].Chunk.Choices[0].Delta.Content)
	assert.True(t, events[1].IsDone)
}

func TestEqualPrefixesHaveEqualBlocks(t *testing.T) {
	shared := strings.Repeat("The office's own instructions. ", 10)
	a, b := PromptBlocks(shared+strings.Repeat("a", 100)), PromptBlocks(shared+strings.Repeat("b", 100))
	same := 0
	for i := range a {
		if a[i] == b[i] {
			same++
		}
	}
	assert.Equal(t, len(shared)/blockBytes, same)
	assert.NotEqual(t, a[len(a)-1], b[len(b)-1])
}

func FuzzReadEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("id: -1\ndata: {}\n\n"))
	f.Add([]byte("event: error\ndata: {\"error\":{}}\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		_ = ReadEvents(bytes.NewReader(raw), func(ev Event) bool {
			require.GreaterOrEqual(t, ev.Offset, 0)
			return true
		})
	})
}
