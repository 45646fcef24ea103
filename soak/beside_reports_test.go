//go:build beside

package soak

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// listener receives the reports that VMs send to their peers, as if it were a VM itself.
type listener struct {
	conn *net.UDPConn

	mu sync.Mutex
	// reports holds the decoded reports of each sender.
	reports map[netip.Addr][][]any
}

func newListener(t *testing.T) *listener {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	l := &listener{conn: conn, reports: map[netip.Addr][][]any{}}
	go l.run()
	return l
}

func (l *listener) run() {
	buf := make([]byte, 2048)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var report []any
		_ = cbor.Unmarshal(buf[:n], &report)
		l.mu.Lock()
		l.reports[from.Addr().Unmap()] = append(l.reports[from.Addr().Unmap()], report)
		l.mu.Unlock()
	}
}

// clear drops the received reports.
func (l *listener) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.reports)
}

const (
	// comparedReports is how many consecutive reports of a VM are compared.
	comparedReports = 5
	// changingFields is how many positions change from report to report in a steady state: the sequence and the urgency.
	changingFields = 2
	changes        = " that changes"
)

// form returns the type and value at each position of the VM's last reports. It returns false while there are too few reports
// or while the state still changes.
func (l *listener) form(v *vm) ([]string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reports := l.reports[v.ip]
	if len(reports) < comparedReports {
		return nil, false
	}
	reports = reports[len(reports)-comparedReports:]
	changed := 0
	var form []string
	for n, value := range reports[0] {
		text := fmt.Sprintf("%T %v", value, value)
		for _, other := range reports[1:] {
			if n >= len(other) || fmt.Sprintf("%T %v", other[n], other[n]) != text {
				text = fmt.Sprintf("%T", value) + changes
			}
		}
		if strings.HasSuffix(text, changes) {
			changed++
		}
		// The name and the incarnation, a Unix time in microseconds, differ between VMs.
		text = strings.ReplaceAll(text, v.name, "name")
		if number, ok := value.(uint64); ok && number > 1e15 {
			text = "incarnation"
		}
		form = append(form, text)
	}
	return form, changed <= changingFields
}

// besideReports compares the reports of both builds position by position, each in the same state: a job whose items fill one
// endpoint while other items wait.
func besideReports(t *testing.T) {
	const waiting = 4
	b := newBeside(t, 1, 400)
	l := newListener(t)
	b.store.Put("vm", "", "listener", map[string]any{
		"address": l.conn.LocalAddr().String(), "incarnation": 1, "region": "syd",
	})
	var forms [][]string
	for _, v := range b.vms {
		j := b.submit(v, longSlots+waiting, 0)
		b.await("the endpoint is full", func() bool { return b.runsOf(j) == longSlots })
		l.clear()
		var form []string
		b.await(v.name+" reports to the listener", func() bool {
			var ok bool
			form, ok = l.form(v)
			return ok
		})
		forms = append(forms, form)
		b.endJob(v, j)
	}
	assert.Equal(t, forms[0], forms[1], "reports of the old build and of the new build")
	t.Logf("each build reports %q", forms[0])
	for _, v := range b.vms {
		b.stop(v)
	}
	b.checkLogs()
}

// runsOf returns how many runs of the job's items have begun at endpoints.
func (b *beside) runsOf(j *longJob) int {
	n := 0
	for _, r := range b.runs() {
		if _, ok := j.bodies[r.ID]; ok {
			n++
		}
	}
	return n
}
