package ratesharer

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine's start, with the time in which it was suspended, as a time after the epoch. The
// clock of the time package stands still during a suspension, in which tokens must expire.
func bootTime() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux that Go supports has the clock.
		panic(err)
	}
	return time.Unix(t.Unix())
}
