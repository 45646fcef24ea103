package balancer

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/assigner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

func sampleReport() assigner.Reported {
	return assigner.Reported{
		VM: "v1", AvailabilityZone: "a", Incarnation: 7, Sequence: 3, Acknowledged: 5,
		Report: placer.Report{
			VM: "v1", Waiting: []time.Duration{time.Second, 1500 * time.Millisecond},
			Loads:  map[placer.Key]placer.Load{9: {Online: 3, Batch: 4}},
			Faults: map[placer.Key]float64{9: 1.5}, Slow: []placer.Key{8},
		},
		Observations: []placer.Observation{{Key: 9, FirstByte: 30 * time.Millisecond, HasFailed: true}},
		Engines:      map[placer.Key]int{9: 6},
	}
}

func sampleQuestion() assigner.Asked {
	return assigner.Asked{VM: "v1", Number: 4, Excluded: []placer.Key{2}, Request: placer.Request{
		Route: registrar.Route{Name: "r", Objective: 300 * time.Millisecond}, AvailabilityZone: "a", Left: 5 * time.Second,
		Waited: 2 * time.Millisecond, Connected: map[placer.Key]bool{3: true},
	}}
}

func TestReportRoundTrip(t *testing.T) {
	in, question := sampleReport(), sampleQuestion()
	b, err := encodeReport(11, in, &question)
	require.NoError(t, err)
	m, err := decode(b)
	require.NoError(t, err)
	r := m.(reportMessage)
	assert.Equal(t, uint64(11), r.Group)
	assert.Equal(t, in, r.reported())
	got, ok := r.asked()
	assert.True(t, ok)
	assert.Equal(t, question, got)
}

func TestOrdersRoundTrip(t *testing.T) {
	e := registrar.Endpoint{ID: "e", Slots: 8}
	k := placer.KeyOf("e")
	outputs := []assigner.Output{
		assigner.Placed{VM: "v1", Question: 4, Order: 6, Decision: placer.Send{
			Endpoint: e, Load: placer.Load{Online: 2, Batch: 1}, Estimate: 70 * time.Millisecond, NeedsPreemption: true,
		}},
		assigner.Placed{VM: "v1", Question: 5, Decision: placer.Refuse{Reason: "full", RetryAfter: time.Second}},
		assigner.BatchOffered{VM: "v1", Order: 7, Endpoint: e},
		assigner.PreemptionOrdered{VM: "v1", Order: 8, Key: k, Items: 2},
	}
	b, err := encodeOrders(11, "v2", outputs)
	require.NoError(t, err)
	m, err := decode(b)
	require.NoError(t, err)
	endpoints := map[placer.Key]registrar.Endpoint{k: e}
	for i, o := range m.(ordersMessage).Orders {
		got, ok := o.output("v1", endpoints)
		assert.True(t, ok)
		assert.Equal(t, outputs[i], got)
	}
	_, ok := orderOf(outputs[2]).output("v1", nil)
	assert.False(t, ok, "an order about an unknown endpoint has no effect")
}

// TestLargestMessagesFitAPacket encodes a VM's report on a group in which it uses every endpoint, and a full chunk of orders.
func TestLargestMessagesFitAPacket(t *testing.T) {
	in, question := sampleReport(), sampleQuestion()
	for i := range 128 {
		in.Report.Loads[placer.Key(uint64(1<<63)+uint64(i))] = placer.Load{Online: 300, Batch: 30}
		in.Report.Faults[placer.Key(uint64(1<<63)+uint64(i))] = 2
	}
	b, err := encodeReport(11, in, &question)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(b), maxMessageBytes+1)
	m, err := decode(b)
	require.NoError(t, err)
	_, ok := m.(reportMessage).asked()
	assert.True(t, ok, "the question is kept")
	var outputs []assigner.Output
	for range maxOrdersPerMessage {
		outputs = append(outputs, assigner.BatchOffered{VM: "v1", Order: 1 << 62, Endpoint: registrar.Endpoint{ID: "e"}})
	}
	b, err = encodeOrders(11, "v2", outputs)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(b), maxMessageBytes+1)
}

func FuzzDecode(f *testing.F) {
	in, question := sampleReport(), sampleQuestion()
	report, err := encodeReport(11, in, &question)
	require.NoError(f, err)
	orders, err := encodeOrders(11, "v2", []assigner.Output{assigner.PreemptionOrdered{VM: "v1", Order: 8, Key: 9, Items: 2}})
	require.NoError(f, err)
	f.Add(report)
	f.Add(orders)
	f.Add([]byte{})
	f.Add([]byte{reportType, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, b []byte) {
		m, err := decode(b)
		if err != nil {
			return
		}
		switch m := m.(type) {
		case reportMessage:
			_ = m.reported()
			_, _ = m.asked()
		case ordersMessage:
			for _, o := range m.Orders {
				_, _ = o.output("v", nil)
			}
		}
	})
}

// TestReportOfManyEndpointsKeepsTheBusiest encodes more endpoints than fit a packet: those with the fewest requests are left out.
func TestReportOfManyEndpointsKeepsTheBusiest(t *testing.T) {
	in := sampleReport()
	for i := range 600 {
		in.Report.Loads[placer.Key(uint64(1<<63)+uint64(i))] = placer.Load{Online: 10 + i}
	}
	b, err := encodeReport(11, in, nil)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(b), maxMessageBytes+1)
	m, err := decode(b)
	require.NoError(t, err)
	loads := m.(reportMessage).Loads
	require.NotEmpty(t, loads)
	assert.Equal(t, uint16(609), loads[0].Online)
	assert.Equal(t, uint16(610-len(loads)), loads[len(loads)-1].Online)
}

func TestRateLimitsRoundTrip(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	limits := []placer.RateLimit{
		{Key: 9, IsNamed: true, PerSecond: 2.5, At: now.Add(-1500 * time.Millisecond)}, {Key: 8, At: now},
	}
	b, err := encodeLimits(now, 11, limits)
	require.NoError(t, err)
	m, err := decode(b)
	require.NoError(t, err)
	assert.Equal(t, uint64(11), m.(limitsMessage).Group)
	assert.Equal(t, limits, m.(limitsMessage).limits(now))
}

// TestRateLimitsFitAPacket encodes as many limits as one message holds, with the longest numbers.
func TestRateLimitsFitAPacket(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	limits := make([]placer.RateLimit, maxLimitsPerMessage)
	for i := range limits {
		k := placer.Key(math.MaxUint64 - uint64(i))
		limits[i] = placer.RateLimit{Key: k, IsNamed: true, PerSecond: 1.1e300, At: now.Add(-maxDuration)}
	}
	b, err := encodeLimits(now, math.MaxUint64, limits)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(b), maxMessageBytes)
}

func TestRateLimitsThatAreNoRatesAreLeftOut(t *testing.T) {
	m := limitsMessage{Limits: []limitMessage{
		{Key: 1, IsNamed: true, PerSecond: math.NaN()},
		{Key: 2, IsNamed: true, PerSecond: math.Inf(1)},
		{Key: 3, IsNamed: true, PerSecond: -1},
		{Key: 4, IsNamed: true, PerSecond: 1, AgeMs: -5},
	}}
	assert.Empty(t, m.limits(time.Now()))
}

// TestSoftwareVersionsRoundTrip checks that the software versions of a question and of waiting items reach the assigner.
func TestSoftwareVersionsRoundTrip(t *testing.T) {
	in, question := sampleReport(), sampleQuestion()
	in.Report.Bound = []registrar.Software{0, 12}
	question.Request.Software = option.Some(registrar.Software(1<<64 - 1))
	for i := range 40 {
		in.Report.Loads[placer.Key(uint64(1<<63)+uint64(i))] = placer.Load{Online: 300, Batch: 30}
	}
	b, err := encodeReport(11, in, &question)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(b), maxMessageBytes+1)
	m, err := decode(b)
	require.NoError(t, err)
	r := m.(softwareReportMessage)
	assert.Equal(t, in.Report.Bound, r.reported().Report.Bound)
	got, ok := r.asked()
	assert.True(t, ok)
	assert.Equal(t, question, got)
}

// TestAccountTravelsWithTheQuestion guards against assigners that do not know whose request they place, and against any change of
// the questions without an account and a priority, which other builds read.
func TestAccountTravelsWithTheQuestion(t *testing.T) {
	question := sampleQuestion()
	assert.Equal(t, "r", questionRoute(question.Request))
	question.Request.Account, question.Request.Priority = "an account", 2
	b, err := encodeReport(11, sampleReport(), &question)
	require.NoError(t, err)
	m, err := decode(b)
	require.NoError(t, err)
	got, ok := m.(reportMessage).asked()
	assert.True(t, ok)
	assert.Equal(t, question, got)
	for _, odd := range []string{"r\x00", "r\x00x\x00a", "\x00\x00"} {
		route, account, priority := splitQuestionRoute(odd)
		assert.Equal(t, odd, route)
		assert.Empty(t, account)
		assert.Zero(t, priority)
	}
}

// TestRefusalSaysThatTheVMMayWait guards against retries that are refused for good because their VM does not keep them.
func TestRefusalSaysThatTheVMMayWait(t *testing.T) {
	out := assigner.Placed{VM: "v1", Question: 5, Decision: placer.Refuse{Reason: "full", MayWait: true}}
	got, ok := orderOf(out).output("v1", nil)
	assert.True(t, ok)
	assert.Equal(t, out, got)
}
