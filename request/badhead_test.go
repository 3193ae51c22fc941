// SPDX-License-Identifier: MIT

package request_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/request"
	"streambend.example/version"
)

// badHeads are answers whose heads break the protocol.
var badHeads = map[string]string{
	"status 000":                     "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nodd!",
	"status 099":                     "HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\nodd!",
	"status +20":                     "HTTP/1.1 +20 OK\r\nContent-Length: 4\r\n\r\nodd!",
	"switched protocols":             "HTTP/1.1 101 OK\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nodd!",
	"a status of letters":            "HTTP/1.1 2xx OK\r\nContent-Length: 4\r\n\r\nodd!",
	"a blank in a name":              "HTTP/1.1 200 OK\r\nX Odd: a\r\nContent-Length: 4\r\n\r\nodd!",
	"a blank after a name":           "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nodd!HTTP/1.1 200 OK\r\n\r\n",
	"a blank after the name of TE":   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nodd!\r\n0\r\n\r\n",
	"a control byte in a name":       "HTTP/1.1 200 OK\r\nX\x01Odd: a\r\nContent-Length: 4\r\n\r\nodd!",
	"an empty name":                  "HTTP/1.1 200 OK\r\n: a\r\nContent-Length: 4\r\n\r\nodd!",
	"a control byte in a value":      "HTTP/1.1 200 OK\r\nX: a\x01b\r\nContent-Length: 4\r\n\r\nodd!",
	"two lengths":                    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 3\r\n\r\nodd!",
	"a length of letters":            "HTTP/1.1 200 OK\r\nContent-Length: four\r\n\r\nodd!",
	"an unknown transfer encoding":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: odd\r\n\r\nodd!",
	"HTTP/0.9":                       "HTTP/0.9 200 OK\r\nContent-Length: 4\r\n\r\nodd!",
	"HTTP/2.0":                       "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nodd!",
	"a folded line before the first": "HTTP/1.1 200 OK\r\n X: a\r\nContent-Length: 4\r\n\r\nodd!",
	"no status line":                 "odd!\r\n\r\n",
}

// badHeadPlay sends 200 calls to services of whose five endpoints one sends an answer as given.
type badHeadPlay struct {
	sound, served, asked int
}

func (p *badHeadPlay) play(t *testing.T, answer string, unrepeatable bool) {
	var asked atomic.Int64
	handlers := []http.HandlerFunc{onConnection(func(c net.Conn) {
		asked.Add(1)
		io.WriteString(c, answer)
	})}
	for range 4 {
		handlers = append(handlers, func(out http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			time.Sleep(20 * time.Millisecond)
			fmt.Fprint(out, "whole")
		})
	}
	w := newRelayFleet(t, 1, request.Defaults(), handlers...)[0]
	for i := range 200 {
		out, now, id := httptest.NewRecorder(), time.Now(), fmt.Sprint("id-", i)
		err := w.server.Relay(t.Context(), &request.Request{
			ID: id, Service: w.service, Route: version.Route{Name: "x"}, Arrived: now, Deadline: now.Add(2 * time.Second), Unrepeatable: unrepeatable,
			Path: "/x", Method: http.MethodPost, Header: http.Header{}, Body: []byte("body"),
			Relay: &request.Relay{Codec: relayCodec{id}, Out: out, Host: "some.example", Attempts: 2},
		})
		whole := err == nil && out.Code == http.StatusOK && out.Body.String() == "whole"
		if whole {
			p.served++
		}
		if whole || err != nil && out.Body.Len() == 0 {
			p.sound++
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.asked = int(asked.Load())
}

// Answers whose heads break the protocol reached callers, or ended their connections, and their endpoints were preferred as fast.
func TestAnswersWithABadHeadReachNoCaller(t *testing.T) {
	for name, answer := range badHeads {
		for _, unrepeatable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/unrepeatable %t", name, unrepeatable), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var p badHeadPlay
					p.play(t, answer, unrepeatable)
					t.Logf("%+v", p)
					assert.Equal(t, 200, p.sound)
					assert.Positive(t, p.asked)
					assert.Less(t, p.asked, 40)
					assert.GreaterOrEqual(t, p.served, 200-p.asked)
					if !unrepeatable {
						assert.GreaterOrEqual(t, p.served, 196)
					}
				})
			})
		}
	}
}

// Answers that are odd, but sound, are passed on.
func TestOddAnswersThatAreSoundArePassedOn(t *testing.T) {
	for name, answer := range map[string]string{
		"a folded line":             "HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 5\r\n\r\nwhole",
		"length and chunks":         "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"the same length twice":     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole",
		"a blank in a trailer":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n5\r\nwhole\r\n0\r\nX Y: a\r\n\r\n",
		"a blank in an interim one": "HTTP/1.1 103 OK\r\nX Odd: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.0":                  "HTTP/1.0 200 OK\r\n\r\nwhole",
		"bytes beyond ASCII":        "HTTP/1.1 200 OK\r\nX: \xe9\r\nContent-Length: 5\r\n\r\nwhole",
		"no reason":                 "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var p badHeadPlay
				p.play(t, answer, false)
				t.Logf("%+v", p)
				assert.Equal(t, 200, p.served)
				assert.Greater(t, p.asked, 20)
			})
		})
	}
	assert.False(t, strings.Contains(fmt.Sprint(badHeads), "whole"))
}
