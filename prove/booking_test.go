package prove

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
)

// TestBookingSentAgain sends one booking through every VM.
func TestBookingSentAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 3})
	first := f.book(f.vms[0], "k1", "kiln 1")
	require.Equal(t, http.StatusCreated, first.status, first.body)
	for _, v := range f.vms {
		again := f.book(v, "k1", "kiln 1")
		assert.Equal(t, first.body, again.body)
		assert.Equal(t, http.StatusCreated, again.status)
	}
	other := f.book(f.vms[1], "k1", "kiln 2")
	assert.Equal(t, http.StatusUnprocessableEntity, other.status)
	assert.Equal(t, "notRun", other.outcome)
	assert.Equal(t, map[string]int{"kiln 1": 1}, f.ledger())
}

// TestBookingsAtOnce sends the same booking through all VMs at the same moment.
func TestBookingsAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 3})
	f.serviceFaults(emulator.ServiceFaults{Slow: 300 * time.Millisecond})
	answers := make(chan answer, 9)
	for i := range 9 {
		go func() { answers <- f.book(f.vms[i%3], "k1", "kiln 1") }()
	}
	for range 9 {
		a := <-answers
		assert.Equal(t, http.StatusCreated, a.status, a.body)
	}
	assert.Equal(t, map[string]int{"kiln 1": 1}, f.ledger())
}

// TestBookingAnswerLost loses the service's answer after it ran the booking.
func TestBookingAnswerLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2})
	f.serviceFaults(emulator.ServiceFaults{DropAnswers: 1})
	a := f.book(f.vms[0], "k1", "kiln 1")
	assert.Equal(t, "unknown", a.outcome, a.body)
	for _, v := range f.vms {
		f.await("the unknown end is stored", func() bool {
			return f.book(v, "k1", "kiln 1").problem.Type == "urn:dogwoodledge:problem:outcomeUnknown"
		})
	}
	assert.Equal(t, map[string]int{"kiln 1": 1}, f.ledger(), "never run again")
}

// TestBookingHolderKilled kills the VM that sent the booking before it has the answer.
func TestBookingHolderKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 3})
	f.serviceFaults(emulator.ServiceFaults{Slow: 2 * time.Second})
	go f.book(f.vms[0], "k1", "kiln 1")
	f.await("the service runs it", func() bool { return f.ledger()["kiln 1"] == 1 })
	f.vms[0].kill()
	f.await("the resend learns that nobody knows", func() bool {
		a := f.book(f.vms[1], "k1", "kiln 1")
		assert.NotEqual(t, "notRun", a.outcome, "it did run")
		return a.problem.Type == "urn:dogwoodledge:problem:outcomeUnknown"
	})
	assert.Equal(t, map[string]int{"kiln 1": 1}, f.ledger())
}

// TestBookingStoreFaults takes the store away, and loses its answers after the write took effect.
func TestBookingStoreFaults(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2})
	f.platformFaults(emulator.PlatformFaults{LoseAnswers: 1})
	a := f.book(f.vms[0], "k1", "kiln 1")
	assert.Equal(t, http.StatusCreated, a.status, "the lost answer of the claim is read back: %s", a.body)
	f.platformFaults(emulator.PlatformFaults{LoseAnswers: 2})
	a = f.book(f.vms[0], "k2", "kiln 2")
	assert.Equal(t, http.StatusCreated, a.status, "the lost answer of the completion is settled later: %s", a.body)
	f.platformFaults(emulator.PlatformFaults{})

	f.platformFaults(emulator.PlatformFaults{IsDown: true})
	a = f.book(f.vms[0], "k3", "kiln 3")
	assert.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
	assert.Equal(t, "notRun", a.outcome)
	assert.NotEmpty(t, a.retry)
	assert.NotContains(t, f.ledger(), "kiln 3")
	f.platformFaults(emulator.PlatformFaults{})
	for _, key := range []string{"k1", "k2", "k3"} {
		for _, v := range f.vms {
			f.await(key+" is answered from "+v.id, func() bool { return f.book(v, key, "kiln "+key[1:]).status == http.StatusCreated })
		}
	}
	assert.Equal(t, map[string]int{"kiln 1": 1, "kiln 2": 1, "kiln 3": 1}, f.ledger())
}

// TestBookingRefusedByService lets the service itself say that it ran nothing.
func TestBookingRefusedByService(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2})
	f.serviceFaults(emulator.ServiceFaults{IsRefusing: true})
	a := f.book(f.vms[0], "k1", "kiln 1")
	assert.Equal(t, "notRun", a.outcome, a.body)
	assert.Empty(t, f.ledger())
	f.serviceFaults(emulator.ServiceFaults{})
	f.await("the key is free again", func() bool { return f.book(f.vms[1], "k1", "kiln 1").status == http.StatusCreated })
	assert.Equal(t, map[string]int{"kiln 1": 1}, f.ledger())
}
