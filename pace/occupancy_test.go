// SPDX-License-Identifier: MIT

package pace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/pace"
)

// Guards against places that are granted twice, that stay taken after a release or the end of a lost one, and that a new
// owner grants while requests may be there that it does not know.
func TestPlacesAreGrantedOnce(t *testing.T) {
	var o pace.Occupancy
	const endpoint, room = 7, 4
	assert.False(t, o.Enter(start, endpoint, room, "a", 100, start.Add(time.Minute)).OK, "a new owner")
	now := start.Add(2 * time.Second)
	for id := uint64(200); id < 200+room; id++ {
		assert.True(t, o.Enter(now, endpoint, room, "a", id, now.Add(time.Second)).OK)
	}
	g := o.Enter(now, endpoint, room, "b", 300, now.Add(time.Second))
	assert.False(t, g.OK)
	assert.Positive(t, g.Wait)
	o.Leave(now, endpoint, 201)
	o.Leave(now, endpoint, 201)
	assert.True(t, o.Enter(now, endpoint, room, "b", 301, now.Add(time.Minute)).OK)
	assert.False(t, o.Enter(now, endpoint, room, "b", 302, now.Add(time.Second)).OK)
	now = now.Add(time.Second)
	for id := uint64(400); id < 400+room-1; id++ {
		assert.True(t, o.Enter(now, endpoint, room, "b", id, now.Add(time.Second)).OK, "places whose release is lost")
	}
	assert.False(t, o.Enter(now, endpoint, room, "b", 500, now.Add(time.Second)).OK)
}
