// SPDX-License-Identifier: MIT

package conn

// FrameKind classifies a frame by its main content, for the traffic counters.
type FrameKind int

// Frame kinds.
const (
	FrameBeat     FrameKind = iota // heartbeat only
	FrameMembers                   // membership
	FrameSends                     // prompts sent to engines
	FrameTallies                   // counters of daemons
	FrameState                     // configuration, notices, loads, demands, crashes
	FrameQuestion                  // request to one daemon
	FrameAnswer                    // response to a FrameQuestion
	FrameKinds    = int(FrameAnswer) + 1
)

// String returns the kind's name.
func (k FrameKind) String() string {
	return [...]string{"beat", "members", "sends", "tallies", "state", "question", "answer"}[k]
}

// kind returns the kind of a message, by its main content.
func (m message) kind() FrameKind {
	switch {
	case m.Ask != nil && m.Ask.Answer:
		return FrameAnswer
	case m.Ask != nil:
		return FrameQuestion
	case len(m.Members) > 0:
		return FrameMembers
	case m.Payload != nil && len(m.Payload.Sends) > 0:
		return FrameSends
	case m.Payload != nil && len(m.Payload.Tallies) > 0:
		return FrameTallies
	case m.Payload != nil || m.Want > 0:
		return FrameState
	}
	return FrameBeat
}

// Frame is one encoded message.
type Frame struct {
	Kind  FrameKind
	Bytes []byte
}

func frameOf(m message) Frame { return Frame{m.kind(), encode(m)} }
