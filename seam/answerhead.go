// SPDX-License-Identifier: MIT

package seam

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrBadHead reports an answer whose head breaks the protocol. Nothing may be decided by it: net/http does not take a field for what
// it looks like if there is a blank in its name, and does not write a status below 100.
var ErrBadHead = errors.New("seam: malformed head of an answer")

const (
	minStatus, maxStatus = 200, 999 // of a final answer
	httpMajor            = 1
)

// checkedTransport refuses answers whose head breaks the protocol.
type checkedTransport struct{ http.RoundTripper }

// CheckHeads returns a transport whose answers have sound heads; others are errors with ErrBadHead.
func CheckHeads(t http.RoundTripper) http.RoundTripper { return checkedTransport{t} }

// RoundTrip implements http.RoundTripper.
func (c checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp, r.Header.Get("Upgrade") != ""); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections implements the optional interface of http.Client.
func (c checkedTransport) CloseIdleConnections() {
	if t, ok := c.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}

// checkHead checks the head of an answer; one to an upgrade may switch protocols.
func checkHead(resp *http.Response, upgrade bool) error {
	switched := upgrade && resp.StatusCode == http.StatusSwitchingProtocols
	switch {
	case !switched && (resp.StatusCode < minStatus || resp.StatusCode > maxStatus):
		return errors.Wrapf(ErrBadHead, "status %03d", resp.StatusCode)
	case resp.ProtoMajor != httpMajor:
		return errors.Wrapf(ErrBadHead, "protocol %q", resp.Proto)
	}
	for name, values := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrBadHead, "field name %q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return errors.Wrapf(ErrBadHead, "value of field %q", name)
			}
		}
	}
	return nil
}
