// SPDX-License-Identifier: MIT

package request_test

import (
	"fmt"
	"testing"
	"time"

	"streambend.example/request"
)

var start = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// pool returns a pool of n endpoints in 12 zones, each reported lightly loaded.
func pool(n int) *request.Pool {
	p := request.NewPool("office/llm", "zone-0", 16)
	for i := range n {
		t := p.Add(request.Endpoint{ID: fmt.Sprintf("box-%04d", i), Zone: fmt.Sprintf("zone-%d", i%12), Address: "127.0.0.1:1", Reclaimable: true})
		t.Report(start, i%4, 16)
	}
	return p
}

func BenchmarkRoute2500(b *testing.B) {
	p := pool(2500)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		n := request.Need{Prefix: uint64(i)*2654435761 | 1, Prompt: 1500, PrefillRate: 20000}
		if _, ok := p.Route(start, n); !ok {
			b.Fatal("no endpoint")
		}
	}
}
