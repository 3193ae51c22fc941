// SPDX-License-Identifier: MIT

package conn_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"streambend.example/conn"
	"streambend.example/version"
)

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMeshMemory reports the memory per member of an overlay with 380 others.
func BenchmarkMeshMemory(b *testing.B) {
	for b.Loop() {
		before := heap()
		m := conn.NewMesh(conn.Member{Name: "entry-000", Start: 1, Address: "10.0.0.1:8082", Zone: "zone-0"}, conn.DefaultTiming())
		var all []conn.Member
		for i := range 380 {
			all = append(all, conn.Member{Name: fmt.Sprintf("entry-%03d", i+1), Start: 1, Address: "10.0.0.1:8082", Zone: "zone-0"})
		}
		m.Learn(start, all)
		b.ReportMetric((heap()-before)/380, "B/member")
		runtime.KeepAlive(m)
	}
}

// frames returns one payload of each kind that is broadcast.
func frames() map[string]conn.Payload {
	s := version.Service{Partner: "office", Name: "llm", Zones: []string{"a", "b", "c", "d"}, Class: "gpu", Routes: make([]version.Route, 3)}
	return map[string]conn.Payload{
		"notice":  {Notices: []conn.Notice{{Box: "box-000001", Deadline: start.Add(time.Minute)}}},
		"load":    {Loads: []conn.LoadClass{{Box: "box-000001", Class: 3}}},
		"demand":  {Demands: []conn.Demand{{Service: "office/llm", Count: 12}}},
		"version": {Entries: []version.Entry{{Version: 7, Plan: "00000000-0000-0000-0000-000000000000", Author: "ops", At: start, Service: s}}},
	}
}

// BenchmarkFrame receives one broadcast frame of each kind and forwards it over
// 17 links, as a daemon among 380 does.
func BenchmarkFrame(b *testing.B) {
	for kind, p := range frames() {
		b.Run(kind, func(b *testing.B) {
			from := conn.NewMesh(conn.Member{Name: "from", Start: 1}, conn.DefaultTiming())
			to := conn.NewMesh(conn.Member{Name: "to", Start: 1}, conn.DefaultTiming())
			from.Up(start, conn.Member{Name: "to", Start: 1})
			for i := range 17 {
				to.Up(start, conn.Member{Name: fmt.Sprint("n", i), Start: 1})
			}
			size := 0
			for b.Loop() {
				out := from.Broadcast(p)
				size = len(out[0].Bytes)
				if more, _, err := to.Receive(start, "from", out[0].Bytes); err != nil || len(more) != 17 {
					b.Fatal(err, len(more))
				}
			}
			b.ReportMetric(float64(size), "B/frame")
		})
	}
}

// BenchmarkSilent lists the members that are dead by silence while all are alive, as each request does that a daemon
// handles with data beyond its bound.
func BenchmarkSilent(b *testing.B) {
	for _, n := range []int{80, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := conn.NewMesh(conn.Member{Name: "self", Start: 1}, conn.DefaultTiming())
			for i := range n {
				m.Learn(start, []conn.Member{{Name: fmt.Sprint("n", i), Start: 1}})
			}
			for b.Loop() {
				m.Silent()
			}
		})
	}
}
