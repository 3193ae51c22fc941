// SPDX-License-Identifier: MIT

package request_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/request"
	"streambend.example/version"
)

const (
	idHeader     = "X-Request-Id"
	notRunHeader = "X-Not-Run"
)

// idCodec is a relayCodec of endpoints that name the request which they answer.
type idCodec struct{ relayCodec }

// Head implements request.Codec.
func (c idCodec) Head(a request.Attempt) http.Header {
	h := c.relayCodec.Head(a)
	h.Set(idHeader, c.id)
	return h
}

// Read implements request.Codec.
func (idCodec) Read(_ int, h http.Header) request.AnswerHead {
	return request.AnswerHead{ID: h.Get(idHeader), NotRun: h.Get(notRunHeader) != "", Signed: true, Own: true}
}

// An answer without the id of its request reached the caller as a failure of the request, from status 400 on.
func TestAnswersWithoutAnIDReachNoCaller(t *testing.T) {
	for _, c := range []struct {
		status               int
		notRun, unrepeatable bool
		served               int // of 100
	}{
		{http.StatusOK, false, false, 100}, {http.StatusBadRequest, false, false, 100}, {http.StatusInternalServerError, false, false, 100},
		{http.StatusNotFound, false, true, 60}, {http.StatusServiceUnavailable, true, false, 100}, {http.StatusBadRequest, true, true, 100},
	} {
		t.Run(fmt.Sprintf("%d, not run %t, unrepeatable %t", c.status, c.notRun, c.unrepeatable), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				handlers := []http.HandlerFunc{func(out http.ResponseWriter, _ *http.Request) {
					if c.notRun {
						out.Header().Set(notRunHeader, "1")
					}
					out.WriteHeader(c.status)
					fmt.Fprint(out, "surplus")
				}}
				for range 3 {
					handlers = append(handlers, func(out http.ResponseWriter, r *http.Request) {
						out.Header().Set(idHeader, r.Header.Get(idHeader))
						fmt.Fprint(out, "whole")
					})
				}
				w := newRelayFleet(t, 1, request.Defaults(), handlers...)[0]
				served := 0
				for i := range 100 {
					out, now, id := httptest.NewRecorder(), time.Now(), fmt.Sprint("id-", i)
					err := w.server.Relay(t.Context(), &request.Request{
						ID: id, Service: w.service, Route: version.Route{Name: "x"}, Arrived: now, Deadline: now.Add(2 * time.Second), Unrepeatable: c.unrepeatable,
						Path: "/x", Method: http.MethodGet, Header: http.Header{},
						Relay: &request.Relay{Codec: idCodec{relayCodec{id}}, Out: out, Host: "some.example", Attempts: 2},
					})
					assert.NotEqual(t, "surplus", out.Body.String(), "%v", err)
					if err == nil && out.Body.String() == "whole" {
						served++
					}
					time.Sleep(20 * time.Millisecond)
				}
				assert.GreaterOrEqual(t, served, c.served)
			})
		})
	}
}
