// SPDX-License-Identifier: MIT

package trial_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/internal/trial"
	"streambend.example/process"
	"streambend.example/seam"
)

// olderBoxList returns an empty list with the first sequence number from 3 s to 6 s after the start.
type olderBoxList struct {
	seam.BoxList
	began time.Time
}

// List implements seam.BoxList.
func (l olderBoxList) List(ctx context.Context, since int64) (seam.BoxPage, error) {
	if at := time.Since(l.began); at > 3*time.Second && at < 6*time.Second {
		return seam.BoxPage{Seq: 1, Boxes: []seam.Box{}}, nil
	}
	return l.BoxList.List(ctx, since)
}

// An older box list must not make the daemons drop endpoints that it lacks.
func TestOlderBoxListRemovesNoEndpoint(t *testing.T) {
	o := trial.DefaultOptions()
	o.Rate, o.Span, o.Script = 0.3, 8*time.Second, []trial.Step{}
	o.Hooks.Platform = func(p process.Platform) process.Platform {
		p.Boxes = olderBoxList{p.Boxes, time.Now()}
		return p
	}
	r := virtual(t, o)
	assert.True(t, r.Held(), "%v", r.Promises())
}
