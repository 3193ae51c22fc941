// SPDX-License-Identifier: MIT

package outage_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/outage"
)

func TestOthers(t *testing.T) {
	since := time.Unix(1000, 0)
	always := func(time.Time) bool { return true }
	never := func(time.Time) bool { return false }
	for name, c := range map[string]struct {
		others  outage.Others
		current func(time.Time) bool
		none    bool
	}{
		"never counted":                     {outage.Others{}, always, false},
		"none was ever there":               {outage.Others{Counted: true}, never, true},
		"all have ended":                    {outage.Others{Known: 2, Counted: true, Since: since}, always, true},
		"not served since they ended":       {outage.Others{Known: 2, Counted: true, Since: since}, never, false},
		"one is dead by silence":            {outage.Others{Known: 2, Silent: 1, Counted: true, Since: since}, always, false},
		"the last one has died just now":    {outage.Others{Known: 2, Counted: true}, always, false},
		"one was found after a start alone": {outage.Others{Alive: 1, Known: 1, Counted: true, Since: since}, always, false},
	} {
		assert.Equal(t, c.none, c.others.None(c.current), name)
	}
}
