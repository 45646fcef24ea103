package acceptor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestLimitsOfVMs guards against limits that refuse ordinary load on the smallest VM, and against limits above what a VM has.
func TestLimitsOfVMs(t *testing.T) {
	const mb = 1 << 20
	for _, v := range []VM{
		{Memory: 144 * mb, Descriptors: 3075, Peers: 256},
		{Memory: 536 * mb, Descriptors: 10_250, Peers: 256},
		{Memory: 64 * mb},
		{Memory: 144 * mb, Descriptors: 500},
		{},
	} {
		l := v.Limits()
		assert.GreaterOrEqual(t, l.Budget.Bytes-l.Budget.SmallShare, int64(4*4*mb), "no room for a submission of 4 MiB: %+v", v)
		assert.GreaterOrEqual(t, l.Budget.SmallShare/2048, int64(1000), "few ordinary requests fit: %+v", v)
		assert.GreaterOrEqual(t, l.Connections, 64)
		assert.Equal(t, 30*time.Second, l.Budget.StalledAfter)
		if v.Memory >= 144*mb {
			held := l.Budget.Bytes + int64(l.Connections)*connectionBytes
			assert.Less(t, held+restBytes, int64(goShare*float64(v.Memory)), "no room for garbage: %+v", v)
		}
		if v.Descriptors > 1000 {
			assert.Less(t, 2*l.Connections+fileDescriptors+v.Peers, v.Descriptors)
		}
	}
	l := VM{Bytes: 50 * mb, Connections: 100, Stall: 5 * time.Second}.Limits()
	assert.Equal(t, []any{int64(50 * mb), 100, 5 * time.Second}, []any{l.Budget.Bytes, l.Connections, l.Budget.StalledAfter})
}
