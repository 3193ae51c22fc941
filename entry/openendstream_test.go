// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/internal/standin"
)

// Guards against a stream with neither a length nor chunks that is taken for whole though it ends inside an event.
func TestAStreamThatEndsWithItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		cut   int // events until the stream ends within the next; 0 for a whole one
		whole bool
	}{
		"whole":                   {"/digest/", 0, true},
		"whole, two attempts":     {"/explain/", 0, true},
		"ends, one attempt":       {"/digest/", 3, false},
		"ends, goes on elsewhere": {"/explain/", 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 2, func(w *world) {
				f := standin.RunnerFault{NoLength: true, CutAfter: c.cut, CutEvent: c.cut > 0}
				w.runner(engines, "a", "i-1", 8).SetFault(f)
				if c.path == "/explain/" {
					w.runner(engines, "a", "i-2", 8).SetFault(standin.RunnerFault{NoLength: true})
				}
				time.Sleep(time.Second) // until both daemons know the endpoints
				for i := range 10 {
					a := w.ask(i%2, http.MethodPost, c.path, fmt.Sprint("s-", i))
					if c.whole {
						assert.NoError(t, a.err)
						assert.Equal(t, events(8), a.body)
						continue
					}
					assert.Error(t, a.err, "it must not look complete")
					assert.NotEqual(t, events(8), a.body)
				}
			})
		})
	}
}
