// SPDX-License-Identifier: MIT

package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/platform"
	"streambend.example/version"
)

// lease returns the lease for the duties as the store holds it.
func (w *world) lease() version.LeaseRow {
	t := &platform.Table{Store: platform.NewStore(w.store.Address(), w.client), Name: "streambend"}
	row, err := version.ReadLease(w.t.Context(), t, "duties")
	require.NoError(w.t, err)
	return row
}

// A holder that has just started keeps its lease while other daemons start and end. If it released the
// lease and acquired it again, another daemon could act in between: there were three holders in turn within
// three seconds.
func TestAHolderThatHasJustStartedKeepsItsLease(t *testing.T) {
	inSuspendableWorld(t, 0, func(w *world, _ func(time.Duration)) { // the real clocks would decide between timers due at one moment
		w.start()
		time.Sleep(time.Second)
		first := w.lease()
		require.Equal(t, int64(1), first.Epoch)
		for range 5 {
			w.start()
			time.Sleep(400 * time.Millisecond)
		}
		w.daemons[3].Kill()
		time.Sleep(3 * time.Second)
		assert.Equal(t, first, w.lease())
	})
}
