// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"testing"

	"streambend.example/conn"
	"streambend.example/entry"
)

// BenchmarkRoster computes the roster among 295 members of six zones, which takes 31 us. A daemon must do
// so only when the members change, not for each query, some twenty times a second.
func BenchmarkRoster(b *testing.B) {
	var members []conn.Member
	for i := range 295 {
		members = append(members, conn.Member{Name: fmt.Sprint("daemon-", i), Zone: fmt.Sprint("zone-", i%6)})
	}
	for b.Loop() {
		entry.NewRoster(members[0], members)
	}
}
