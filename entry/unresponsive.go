// SPDX-License-Identifier: MIT

package entry

import (
	"sync"
	"time"
)

// ownerRetryPause is how long a daemon that did not answer a query for a grant is not asked again.
const ownerRetryPause = time.Second

// unresponsivePeers holds the daemons that did not answer a query, and until when they are not asked. The zero
// value is ready to use.
type unresponsivePeers struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// skip reports whether a daemon is not to be asked now.
func (p *unresponsivePeers) skip(now time.Time, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.until[name])
}

// mark records that a daemon did not answer.
func (p *unresponsivePeers) mark(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.until == nil {
		p.until = make(map[string]time.Time)
	}
	for other, until := range p.until {
		if now.After(until) {
			delete(p.until, other)
		}
	}
	p.until[name] = now.Add(ownerRetryPause)
}
