package prove

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
)

// TestBookingSentAgain sends one booking again through every VM: it runs once, and every answer is that of the first.
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

// TestBookingsAtOnce sends the same booking through all VMs concurrently.
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

// TestBookingAnswerLost drops the answer of the service after it has run the booking.
func TestBookingAnswerLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2})
	f.serviceFaults(emulator.ServiceFaults{DropAnswers: 1})
	a := f.book(f.vms[0], "k1", "kiln 1")
	assert.Equal(t, "unknown", a.outcome, a.body)
	for _, v := range f.vms {
		f.await("the unknown outcome is stored", func() bool {
			return f.book(v, "k1", "kiln 1").problem.Type == "urn:dogwoodledge:problem:outcomeUnknown"
		})
	}
	assert.Equal(t, map[string]int{"kiln 1": 1}, f.ledger(), "never run again")
}

// TestBookingHolderKilled kills the VM that has sent the booking to the service, before the answer arrives.
func TestBookingHolderKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 3})
	f.serviceFaults(emulator.ServiceFaults{Slow: 2 * time.Second})
	go f.book(f.vms[0], "k1", "kiln 1")
	f.await("the service runs the booking", func() bool { return f.ledger()["kiln 1"] == 1 })
	f.vms[0].kill()
	f.await("the resend is answered that the outcome is unknown", func() bool {
		a := f.book(f.vms[1], "k1", "kiln 1")
		assert.NotEqual(t, "notRun", a.outcome, "the service ran the booking")
		return a.problem.Type == "urn:dogwoodledge:problem:outcomeUnknown"
	})
	assert.Equal(t, map[string]int{"kiln 1": 1}, f.ledger())
}

// TestBookingStoreFaults loses answers to writes that took effect in the store, then makes the store unavailable.
func TestBookingStoreFaults(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2})
	f.platformFaults(emulator.PlatformFaults{LoseAnswers: 1})
	a := f.book(f.vms[0], "k1", "kiln 1")
	assert.Equal(t, http.StatusCreated, a.status, "the claim whose answer was lost is read back: %s", a.body)
	f.platformFaults(emulator.PlatformFaults{LoseAnswers: 2})
	a = f.book(f.vms[0], "k2", "kiln 2")
	assert.Equal(t, http.StatusCreated, a.status, "the completion whose answer was lost is stored later: %s", a.body)
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

// TestBookingRefusedByService has the service answer that it did not run the booking.
func TestBookingRefusedByService(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2})
	f.serviceFaults(emulator.ServiceFaults{IsRefusing: true})
	a := f.book(f.vms[0], "k1", "kiln 1")
	assert.Equal(t, "notRun", a.outcome, a.body)
	assert.Empty(t, f.ledger())
	f.serviceFaults(emulator.ServiceFaults{})
	f.await("the key can be used again", func() bool { return f.book(f.vms[1], "k1", "kiln 1").status == http.StatusCreated })
	assert.Equal(t, map[string]int{"kiln 1": 1}, f.ledger())
}
