//go:build !linux

package clock

import "time"

// Suspended returns zero: this system does not tell how long the machine has been suspended.
func Suspended() time.Duration { return 0 }
