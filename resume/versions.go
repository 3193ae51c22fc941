// SPDX-License-Identifier: MIT

package resume

import (
	"maps"
	"slices"
	"time"
)

// SettleTime is how long a version has been listed before it gets requests, if the service has another one. All daemons
// whose list is no older then have it in their list, and know that a stream may have begun there.
const SettleTime = 1200 * time.Millisecond

// Versions is the history of a service's versions, as one daemon's list of endpoints has shown them. The zero value has
// seen none.
type Versions struct {
	Life time.Duration // the longest time for which a stream can be taken up after its first event

	began       time.Time // since when the history is complete
	firstListed time.Time // moment at which the first list was current
	listed      time.Time // moment up to which the last observed list was current
	seen        map[string]*span
}

// span is the time in which streams may have begun at a version.
type span struct {
	from   time.Time // at any daemon; zero if it was listed before the history began
	found  time.Time // when this daemon found it; zero likewise
	usable time.Time // from when on this daemon sends requests there
	gone   time.Time // zero while it is listed
}

// young reports whether another daemon may have missed the version, as its list is a little older.
func (s *span) young(now time.Time) bool {
	return !s.found.IsZero() && now.Sub(s.found) <= 2*SettleTime
}

// Begin starts a history that knows of all versions there ever were, for a system that has not run before.
func (v *Versions) Begin() { v.began = time.Unix(0, 0) }

// Observe records the versions in a list of endpoints that was current at a moment.
func (v *Versions) Observe(now, listed time.Time, versions []string) {
	before := v.listed
	if listed.After(v.listed) {
		v.listed = listed
	}
	first := v.seen == nil
	if first {
		v.seen, v.firstListed = make(map[string]*span), listed
	}
	if v.began.IsZero() || !first && listed.Sub(before) > SettleTime {
		v.began = now // a version may have come, got requests and gone between the two lists
	}
	v.expire(now)
	for name, s := range v.seen {
		if s.gone.IsZero() && !slices.Contains(versions, name) {
			s.gone = now
		}
	}
	// No list that is in use may show another version.
	none, unknown := len(v.seen) == 0 && now.Sub(v.firstListed) >= SettleTime, v.unknownElsewhere(now)
	for _, name := range versions {
		s := v.seen[name]
		switch {
		case s != nil:
			s.gone = time.Time{}
		case first:
			v.seen[name] = &span{}
		case none: // no other version can have begun a stream
			v.seen[name] = &span{from: before, found: now}
		case unknown:
			v.seen[name] = &span{from: before, found: now, usable: now.Add(SettleTime)}
		default:
			v.seen[name] = &span{from: before.Add(SettleTime), found: now, usable: now.Add(SettleTime)}
		}
	}
}

// unknownElsewhere reports whether another daemon may know none of the versions: its list is a little older, or it has
// just started and they are gone. It sends requests at once to the one that it finds next.
func (v *Versions) unknownElsewhere(now time.Time) bool {
	for _, s := range v.seen {
		if s.gone.IsZero() && !s.young(now) {
			return false
		}
	}
	return true
}

// expire forgets the versions at which no stream can have begun that is still taken up.
func (v *Versions) expire(now time.Time) {
	maps.DeleteFunc(v.seen, func(_ string, s *span) bool { return !s.gone.IsZero() && now.Sub(s.gone) > v.Life })
}

// Usable returns the listed versions that may get requests, sorted.
func (v *Versions) Usable(now time.Time) (out []string) {
	for name, s := range v.seen {
		if s.gone.IsZero() && !now.Before(s.usable) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Single reports whether streams can have begun at one version only, and at which, as far as the observed lists tell. A
// newer list may tell otherwise.
func (v *Versions) Single(now time.Time) (version string, ok bool) {
	if v.began.IsZero() || now.Sub(v.began) < v.Life {
		return "", false
	}
	count := 0
	for name, s := range v.seen {
		if now.Before(s.from) || !s.gone.IsZero() && now.Sub(s.gone) > v.Life {
			continue
		}
		if s.young(now) || !s.gone.IsZero() {
			return "", false // another version may get requests that this daemon has not found
		}
		version = name
		count++
	}
	return version, count == 1
}

// SingleListed reports whether Single holds and no other version is listed that will get requests soon.
func (v *Versions) SingleListed(now time.Time) bool {
	_, single := v.Single(now)
	return single && len(v.seen) == 1
}

// Certain is Single for a list whose age leaves no other version: one that is not listed yet has no requests yet.
func (v *Versions) Certain(now time.Time, age time.Duration) (version string, ok bool) {
	if age > SettleTime {
		return "", false
	}
	return v.Single(now)
}
