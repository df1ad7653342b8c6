package loop

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time. It never goes back.
type Clock func() time.Time

// BootClock returns a clock that starts at the wall time, is not moved by steps
// of the wall clock, and goes on while the machine is suspended, unlike Go's
// monotonic time. Leases and time-outs that protect something need that.
func BootClock() Clock {
	start := time.Now().Round(0)
	base := bootTime()
	return func() time.Time { return start.Add(bootTime() - base) }
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; there is nothing to fall back on.
		panic("loop: no boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
