// SPDX-License-Identifier: MIT

package request_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"streambend.example/conn"
	"streambend.example/crash"
	"streambend.example/internal/standin"
	"streambend.example/request"
)

// Guards against a daemon of a large fleet that ends the readers' verdict, and blames a sound part, by the few crashes that
// it has seen itself.
func TestOnlyDaemonsThatCollectCrashesBlameParts(t *testing.T) {
	sound, crashing, other := crash.FingerprintOf([]byte("sound")), crash.FingerprintOf([]byte("crashing")), crash.FingerprintOf([]byte("other"))
	now := time.Now()
	collects, sent := false, 0
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := request.NewServer(request.Options{Holds: request.HoldTransport{
		Collects: func() bool { return collects }, Broadcast: func(conn.Payload) { sent++ },
	}}, conn.NewClient(standin.NewNet(), 1), nil, nil, log).Holds
	pass := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			h.Evaluate(now)
		}
	}
	seen := 0
	see := func(parts ...crash.Fingerprint) {
		seen++
		flight := crash.Flight{Print: crash.FingerprintOf([]byte(fmt.Sprint(seen))), For: 40 * time.Millisecond, Parts: parts}
		h.Ledger.AddCrash(now, crash.EndpointCrash{Endpoint: fmt.Sprint("i-", seen), Flights: []crash.Flight{flight}})
		pass(300 * time.Millisecond)
	}
	held := func(parts ...crash.Fingerprint) bool {
		_, held := h.Ledger.HeldRequest(now, crash.FingerprintOf([]byte("content")), parts)
		return held
	}

	see(sound, crashing)
	see(sound, crashing)
	see(sound, other) // beside a request with the crashing part that another daemon has sent
	h.Ledger.Merge(now, crash.Verdict{Print: crashing, Crashes: 11, NextTrial: now.Add(time.Minute), Until: now.Add(time.Hour)})
	pass(2 * time.Second)
	assert.Zero(t, sent)
	assert.True(t, held(sound, crashing))
	assert.False(t, held(sound, other))

	collects = true // as the zone's reader has ended
	pass(crash.PartVerdictDelay / 2)
	h.Ledger.Survived(now, crash.Survival{Parts: []crash.Fingerprint{sound}, Age: crash.SurvivalTime})
	pass(2 * time.Second)
	assert.Zero(t, sent)
	assert.True(t, held(sound, crashing))
	assert.False(t, held(sound, other))
}
