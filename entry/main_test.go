// SPDX-License-Identifier: MIT

package entry_test

import (
	"os"
	"testing"
	"time"

	"streambend.example/clock"
)

// TestMain takes the real clocks out of virtual time: two readings of them differ by microseconds, which decides between
// timers that are due at one moment.
func TestMain(m *testing.M) {
	clock.Suspended = func() time.Duration { return 0 }
	os.Exit(m.Run())
}
