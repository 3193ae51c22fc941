// SPDX-License-Identifier: MIT

package request

import "streambend.example/code"

// BindingState says whether a stream is bound to a version of its service's software.
type BindingState int

// The states of a Binding.
const (
	Unbound BindingState = iota // no event has been written yet: any version may begin it
	Bound                       // to Binding.Version
	Lost                        // an unknown version has begun it
)

// Binding is the version that began a stream. What two versions write does not fit together, so all later attempts go to
// endpoints of that version.
type Binding struct {
	State   BindingState
	Version string
}

// BoundTo returns the binding of a stream that a version has begun.
func BoundTo(version string) Binding { return Binding{Bound, version} }

// allows reports whether the stream may go to an endpoint of a version.
func (b Binding) allows(version string) bool {
	return b.State == Unbound || b.State == Bound && b.Version == version
}

// bind binds a stream to the version of the endpoint that sends its first event. The choice has no endpoint if another
// daemon has sent the request there, which has told the version and has recorded it.
func (x *Relay) bind(c Choice, told Binding) {
	if c.Target != nil {
		x.Binding = BoundTo(c.Target.Version)
		if x.OnBound != nil {
			x.OnBound(c.Target.Version)
		}
		return
	}
	if x.Binding.State == Unbound {
		x.Binding = told
	}
	if x.Binding.State == Unbound {
		x.Binding.State = Lost
	}
}

// versionGone returns an error if no endpoint may continue the stream, now or later.
func (r *run) versionGone() *code.Error {
	x := r.req.Relay
	switch {
	case x == nil || x.Binding.State == Unbound:
		return nil
	case x.Binding.State == Lost:
		return code.New(code.VersionUnknown, "the version that began the stream is not known")
	case !r.work.Pool.Serves(x.Binding.Version):
		return code.New(code.VersionGone, "no endpoint of %s is left at version %s, which began the stream", r.work.Pool.Service, x.Binding.Version)
	}
	return nil
}
