// SPDX-License-Identifier: MIT

package process

import (
	"time"

	"streambend.example/request"
	"streambend.example/version"
)

func dur(d time.Duration) version.Duration { return version.Duration{Duration: d} }

// DefaultSettings returns the defaults of the optional settings.
func DefaultSettings() Settings {
	return Settings{
		Pool: 64,
		Platform: PlatformSettings{
			Region: "local", Table: "streambend", Bucket: "streambend", TableRate: 50, LoadRate: 1,
		},
		Limits: Limits{
			BodyBytes: 8 << 20, HeaderBytes: 64 << 10, Queued: 1024, Connections: 10000, KeptAnswers: 1024,
		},
		Timing: Timing{
			Deadline: dur(2 * time.Minute), Grace: dur(30 * time.Second),
			FirstWait: dur(10 * time.Second), Stall: dur(5 * time.Second),
			Unready: dur(3 * time.Second), Drain: dur(2 * time.Minute),
			Lease: dur(10 * time.Second), Watch: dur(3 * time.Second),
			List: dur(2 * time.Second), Poll: dur(10 * time.Second), Hold: dur(2 * time.Minute),
		},
		Isolated: "unready", Route: string(request.RouteOurs), Move: string(request.MoveOurs), Place: string(version.Ours),
		Log: LogSettings{Level: "info"},
	}
}

// options converts the settings to request options.
func (s *Settings) options() request.Options {
	o := request.Defaults()
	o.Zone = s.Zone
	o.Route = request.RoutePolicy(s.Route)
	o.Move = request.MovePolicy(s.Move)
	o.MaxQueued = s.Limits.Queued
	o.KeepMost = s.Limits.KeptAnswers
	o.FirstWait = s.Timing.FirstWait.Duration
	o.Stall = s.Timing.Stall.Duration
	o.Grace = s.Timing.Grace.Duration
	return o
}
