// SPDX-License-Identifier: MIT

package crash_test

import (
	"fmt"
	"testing"
	"time"

	"streambend.example/crash"
)

// BenchmarkPrint measures the hash of a request with a body of 16 KB.
func BenchmarkPrint(b *testing.B) {
	body := make([]byte, 16<<10)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		crash.FingerprintOf([]byte("team"), []byte("host"), []byte("POST"), []byte("/path/x"), body)
	}
}

// BenchmarkAnswered measures the cost of one complete answer.
func BenchmarkAnswered(b *testing.B) {
	var l crash.Ledger
	prints := make([]crash.Fingerprint, 1024)
	for i := range prints {
		prints[i] = printOf(i)
	}
	i := 0
	for b.Loop() {
		l.Answered(start.Add(time.Duration(i)*time.Millisecond), prints[i%len(prints)])
		i++
	}
}

// BenchmarkEnded measures a crash with 32 requests in flight, none of them known.
func BenchmarkEnded(b *testing.B) {
	var l crash.Ledger
	i := 0
	for b.Loop() {
		e := end(i)
		for f := range 32 {
			e.Flights = append(e.Flights, crash.Flight{Print: printOf(32*i + f), For: time.Second})
		}
		l.AddCrash(start.Add(time.Duration(i)*100*time.Millisecond), e)
		i++
	}
}

// BenchmarkCrashWithParts measures a crash with 32 requests of four shared parts in flight, and the evaluation after it.
func BenchmarkCrashWithParts(b *testing.B) {
	var l crash.Ledger
	now := start
	i := 0
	for b.Loop() {
		i++
		e := crash.EndpointCrash{Endpoint: fmt.Sprint("i-", i%1000)}
		for j := range 32 {
			parts := partsOf("common", fmt.Sprint("second-", j), fmt.Sprint("third-", (i*32+j)%4096), "fourth")
			e.Flights = append(e.Flights, crash.Flight{Print: printOf(j), For: time.Second, Parts: parts})
		}
		now = now.Add(time.Second)
		l.AddCrash(now, e)
		l.Evaluate(now)
	}
}
