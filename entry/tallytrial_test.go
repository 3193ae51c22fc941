// SPDX-License-Identifier: MIT

package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/rollout"
)

// Other daemons learn what a daemon counts for an order, as a whole tally or as changes, until the order is
// dropped.
func TestAnswersOfVersionsAreCountedOverDaemons(t *testing.T) {
	a, b := tallies("a", 1000), tallies("b", 1000)
	one := rollout.Tally{Total: 1}
	bad := rollout.Tally{Total: 1, Bad: 1}
	a.Try(41, "r/x", "", one)
	a.Try(41, "r/x", "i-1", bad)
	b.Try(41, "r/x", "i-1", one)
	b.Try(4, "r/x", "i-1", one) // of another order
	now := time.Unix(2000, 0)
	edit, news := a.Since(0, 0)
	b.Merge(now, "a", decoded(news))
	a.Try(41, "r/x", "i-2", one)
	_, news = a.Since(edit, 0)
	b.Merge(now, "a", decoded(news))

	c := b.Trials(41)
	assert.Len(t, c.Old, 1)
	assert.Equal(t, map[string]rollout.Tally{"i-1": {Total: 2, Bad: 1}, "i-2": {Total: 1}}, c.New["r%x"])
	b.DropTrials([]int64{4})
	assert.Empty(t, b.Trials(41).New)
	assert.Len(t, b.Trials(4).New, 1)
}
