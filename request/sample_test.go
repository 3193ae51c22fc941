// SPDX-License-Identifier: MIT

package request_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/request"
)

// promptNeed returns the requirements of a prompt with a shared part.
func promptNeed(shared, draw uint64) request.Need {
	return request.Need{Prefix: shared, Draw: draw, PreferRendezvous: true, Pause: 600 * time.Millisecond,
		Parts: []request.Part{{ID: shared, Tokens: 5000}, {ID: draw, Tokens: 600}}}
}

// choices returns the time that n choices take in a pool of some endpoints.
func choices(endpoints, n int) time.Duration {
	p := pool(endpoints)
	p.Targets()
	began := time.Now()
	for i := range n {
		p.Route(start, promptNeed(uint64(i)|1, uint64(i)*7919+1))
	}
	return time.Since(began)
}

// A choice must not take longer because the fleet is larger: with a look at each of 10,000 endpoints it took 4
// ms of processor time, 22 ms on a fifth of a core.
func TestAChoiceTakesNoLongerAmongManyEndpoints(t *testing.T) {
	few, many := choices(200, 200), choices(10_000, 200)
	t.Logf("%s among 200 endpoints, %s among 10,000", few/200, many/200)
	assert.Less(t, many, 5*few)
}

// Prompts that share a part go to one endpoint from all daemons of a large fleet while it has room, as each
// other one would read the part again, and elsewhere once it has none.
func TestPromptsOfALargeFleetShareParts(t *testing.T) {
	a, b := pool(2000), pool(2000)
	for i := range 50 {
		x, _ := a.Route(start, promptNeed(uint64(i)*7919|1, uint64(i)))
		y, _ := b.Route(start, promptNeed(uint64(i)*7919|1, uint64(i)+1_000_000))
		assert.Equal(t, x.Target.ID, y.Target.ID, "prefix %d", i)
	}
	at := make(map[string]int)
	for i := range 200 {
		n := promptNeed(7919, uint64(i))
		c, ok := a.Route(start, n)
		assert.True(t, ok)
		at[c.Target.ID]++
		c.Target.Send(start, c.Fresh, n.Parts, 10)
	}
	assert.Greater(t, len(at), 4, "not all at one")
}
