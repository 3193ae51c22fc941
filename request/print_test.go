// SPDX-License-Identifier: MIT

package request_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"streambend.example/crash"
	"streambend.example/request"
)

// The fingerprint of a request covers its content and its team, but nothing that differs between a
// caller's retries.
func TestFingerprintCoversContentAndTeam(t *testing.T) {
	ask := func(change func(r *request.Request)) crash.Fingerprint {
		r := &request.Request{ID: "id-1", Team: "team", Method: "POST", Path: "/p/?q=1", Body: []byte("body"), Relay: &request.Relay{Host: "host"}}
		change(r)
		return r.Print()
	}
	usual := ask(func(*request.Request) {})
	assert.Equal(t, usual, ask(func(r *request.Request) { r.ID, r.Key, r.After = "id-2", "key", 7 }))
	assert.Equal(t, usual, ask(func(r *request.Request) { r.Service.Name, r.Route.Name = "elsewhere", "route" }))
	for name, change := range map[string]func(r *request.Request){
		"team": func(r *request.Request) { r.Team = "other" },
		"host": func(r *request.Request) { r.Relay.Host = "other" },
		"path": func(r *request.Request) { r.Path = "/p/?q=2" },
		"body": func(r *request.Request) { r.Body = []byte("bodi") },
	} {
		assert.NotEqual(t, usual, ask(change), name)
	}
}
