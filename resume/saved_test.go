// SPDX-License-Identifier: MIT

package resume_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"streambend.example/resume"
)

// Guards against a row that grows without bound, or keeps streams that are whole or too old.
func TestSavedStreamsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	s := resume.Saved{Most: 3}
	_, ok := s.Take(now)
	assert.False(t, ok)
	for i := range 5 {
		s.Add(now, key(i), "v1", now.Add(time.Second))
	}
	s.Remove(key(0))
	records, ok := s.Take(now)
	assert.True(t, ok)
	assert.ElementsMatch(t, []resume.SavedRecord{{key(1), "v1", time.Second}, {key(2), "v1", time.Second}}, records)
	_, ok = s.Take(now)
	assert.False(t, ok, "nothing was added")
	s.Retry()
	records, ok = s.Take(now.Add(time.Second))
	assert.True(t, ok)
	assert.Empty(t, records)
}

// Guards against a record that outlives its stream, and against one of an id that was used twice.
func TestARestoredRecordIsKeptForTheRestOfItsTime(t *testing.T) {
	now := time.Unix(1000, 0)
	tr := resume.NewTracker(10, 10*time.Second, false)
	tr.Restore(now, resume.SavedRecord{Key: key(0), Version: "v1", Left: time.Hour}) // of a daemon with other settings
	tr.Restore(now, resume.SavedRecord{Key: key(1), Version: "v1", Left: 6 * time.Second})
	known := func(now time.Time, k resume.Key) bool { return tr.Known(now, 0, service, &k).Known() }
	assert.True(t, known(now.Add(9*time.Second), key(0)))
	assert.False(t, known(now.Add(10*time.Second), key(0)))
	assert.True(t, known(now.Add(5*time.Second), key(1)))
	assert.False(t, known(now.Add(6*time.Second), key(1)))
	tr.Restore(now, resume.SavedRecord{Key: key(2), Version: "v1", Left: time.Second})
	tr.Restore(now, resume.SavedRecord{Key: key(2), Version: "v2", Left: time.Second})
	assert.False(t, known(now, key(2)), "two records differ")
}

func key(i int) resume.Key { return resume.NewKey("team", service, "route", fmt.Sprint("saved-", i)) }
