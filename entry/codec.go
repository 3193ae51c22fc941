// SPDX-License-Identifier: MIT

package entry

import (
	"net/http"
	"strconv"

	"streambend.example/platform"
	"streambend.example/request"
)

// codec translates headers between one request and the platform's protocol for endpoints.
type codec struct {
	in      http.Header // the caller's headers that are forwarded
	team    string
	urgency int             // 0 is the most urgent; negative if not given
	unknown *unknownHeaders // checks the headers of each answer
}

// Head implements request.Codec.
func (c *codec) Head(a request.Attempt) http.Header {
	h := c.in.Clone()
	s := platform.Send{Instance: a.Endpoint, Team: c.team, Left: a.Left, Urgency: c.urgency}
	if a.Position.Known { // otherwise what the caller sent stays
		s.After = strconv.FormatInt(a.Position.Event, 10)
	}
	s.SetHeaders(h)
	return h
}

// Read implements request.Codec.
func (c *codec) Read(status int, h http.Header) request.AnswerHead {
	c.unknown.logNew(status, h)
	a := platform.ReadHead(status, h)
	return request.AnswerHead{
		ID: a.ID, NotRun: a.NotRun, Signed: a.Signed, Own: a.FromIntended, Said: a.Said,
		Load: a.Load.Running + a.Load.Waiting, Slots: a.Load.Slots, HasLoad: a.HasLoad,
	}
}

// Copy implements request.Codec.
func (c *codec) Copy(to, from http.Header) { platform.CopyAnswer(to, from) }
