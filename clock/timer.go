// SPDX-License-Identifier: MIT

package clock

import "time"

// LeastTimer is the shortest duration for a timer. A timer that is due at once runs in the goroutine
// that creates it or looks at its channel, where go1.26's race detector crashes in virtual time.
const LeastTimer = time.Nanosecond
