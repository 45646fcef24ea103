package gossiper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
)

func sample() message {
	return message{
		VM: "v1", Incarnation: 7, Sequence: 3, HasStore: true, Pending: 2, UrgencyMs: 1500,
		Loads:  []loadMessage{{Key: 9, Online: 3, Batch: 4}},
		Faults: []faultMessage{{Key: 9, Tenths: 15}}, Hidden: []hiddenMessage{{Key: 9, Requests: 2}},
	}
}

func TestMessageRoundTrip(t *testing.T) {
	b, err := encode(sample())
	require.NoError(t, err)
	m, err := decode(b)
	require.NoError(t, err)
	r := m.report()
	assert.Equal(t, placer.Load{Online: 3, Batch: 4}, r.Loads[9])
	assert.InDelta(t, 1.5, r.Faults[9], 0.01)
	assert.Equal(t, 2, r.Hidden[9])
	assert.Equal(t, 1500*time.Millisecond, r.Urgency)
	_, err = decode([]byte("not a report"))
	assert.Error(t, err)
}

// TestLargestReportFitsADatagram encodes the loads of 66 endpoints, those of the largest known deployment, all in use by one
// VM.
func TestLargestReportFitsADatagram(t *testing.T) {
	m := sample()
	for i := range 66 {
		m.Loads = append(m.Loads, loadMessage{Key: 1<<63 + uint64(i), Online: 300, Batch: 30})
	}
	b, err := encode(m)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(b), maxDatagramBytes)
}

// TestReportOfManyEndpointsKeepsTheBusiest encodes 600 endpoints, the planned size: the endpoints with the fewest requests are
// left out.
func TestReportOfManyEndpointsKeepsTheBusiest(t *testing.T) {
	m := sample()
	for i := range 600 {
		m.Loads = append(m.Loads, loadMessage{Key: 1<<63 + uint64(i), Online: uint16(i)})
	}
	b, err := encodeWithin(m, maxDatagramBytes)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(b), maxDatagramBytes)
	got, err := decode(b)
	require.NoError(t, err)
	assert.Equal(t, m.Pending, got.Pending)
	require.NotEmpty(t, got.Loads)
	assert.Equal(t, uint16(599), got.Loads[0].Online)
}

func FuzzDecode(f *testing.F) {
	b, err := encode(sample())
	require.NoError(f, err)
	f.Add(b)
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, b []byte) {
		if m, err := decode(b); err == nil {
			_ = m.report()
		}
	})
}
