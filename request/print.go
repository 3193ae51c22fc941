// SPDX-License-Identifier: MIT

package request

import "streambend.example/crash"

// Print returns a fingerprint of the request's content. It is the same when the
// caller retries, at any daemon.
func (r *Request) Print() crash.Fingerprint {
	host := ""
	if r.Relay != nil {
		host = r.Relay.Host
	}
	return crash.FingerprintOf([]byte(r.Partner), []byte(r.Team), []byte(host), []byte(r.Method), []byte(r.Path), r.Body)
}
