// SPDX-License-Identifier: MIT

package entry

import (
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"

	"streambend.example/platform"
)

// maxUnknownHeaders bounds how many header names are logged.
const maxUnknownHeaders = 32

// unknownHeaders logs once each header of endpoints' answers that this version does not know: it may ask for
// something that is not implemented.
type unknownHeaders struct {
	log *logrus.Logger

	mu    sync.Mutex
	names map[string]bool
}

// logNew logs the first unknown header of an answer, unless it was logged before.
func (u *unknownHeaders) logNew(status int, h http.Header) {
	name := platform.UnknownHeader(h)
	if name == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.names[name] || len(u.names) >= maxUnknownHeaders {
		return
	}
	if u.names == nil {
		u.names = make(map[string]bool)
	}
	u.names[name] = true
	u.log.WithFields(logrus.Fields{"part": "endpoints", "header": name, "value": platform.Shown(h.Get(name)), "status": status}).
		Info("unknown header in an endpoint's answer")
}
