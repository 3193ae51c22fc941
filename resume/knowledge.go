// SPDX-License-Identifier: MIT

package resume

// Source says how a stream's version is known.
type Source int

// The sources, in ascending order of weight. Others, which a later version of this program may send, count as Unknown.
const (
	Unknown Source = iota
	Certain        // no other version can have begun the stream
	Record         // of the stream
)

// String returns the source's name.
func (s Source) String() string {
	switch s {
	case Certain:
		return "only version"
	case Record:
		return "record"
	}
	return "unknown"
}

// Knowledge is what a daemon knows of a stream's version.
type Knowledge struct {
	Version string
	Source  Source
}

// Known reports whether the version is known.
func (k Knowledge) Known() bool { return k.Source == Certain || k.Source == Record }

// Merge adds what another daemon knows. A record outweighs a list of endpoints, which may be older than the stream; two
// lists that differ tell nothing.
func (k Knowledge) Merge(other Knowledge) Knowledge {
	switch {
	case !other.Known() || k.Source == Record:
		return k
	case !k.Known() || other.Source == Record || other.Version == k.Version:
		return other
	}
	return Knowledge{}
}
