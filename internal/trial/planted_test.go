// SPDX-License-Identifier: MIT

package trial_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"streambend.example/code"
	"streambend.example/internal/standin"
	"streambend.example/internal/trial"
	"streambend.example/process"
	"streambend.example/request"
	"streambend.example/seam"
)

// maxDetectionRuns is the number of runs within which a planted fault must be detected.
const maxDetectionRuns = 40

// plantedFault is a deliberate defect that breaks the guarantee at the same index in the report. It is
// injected through an interface of the product or of its environment.
type plantedFault struct {
	name  string
	hooks trial.Hooks
}

// plantedFaults returns one defect for each guarantee, in their order.
func plantedFaults() []plantedFault {
	return []plantedFault{
		{"drop-moved", trial.Hooks{Judge: dropMoved}},
		{"repeat-token", trial.Hooks{Engine: standin.EngineFault{Repeat: true}}},
		{"refuse-after-send", trial.Hooks{Judge: refuseAfterSend}},
		{"rerun-unrepeatable", trial.Hooks{Judge: rerunUnrepeatable}},
		{"route-to-leaving", trial.Hooks{Platform: hideLeaving}},
		{"cut-on-stop", trial.Hooks{Stop: func(_ context.Context, d *process.Daemon) { d.Kill() }}},
		{"revert-config", trial.Hooks{Version: revertVersions()}},
	}
}

// dropMoved fails a stream that was cut because of a reclaim instead of resuming it.
func dropMoved(now time.Time, a *request.AttemptOutcome) request.Verdict {
	if a.Ending == request.EndedMoved {
		return request.Verdict{Action: request.GiveUp, Code: code.NotWhole}
	}
	return request.Classify(now, *a)
}

// refuseAfterSend reports a broken attempt as not run.
func refuseAfterSend(now time.Time, a *request.AttemptOutcome) request.Verdict {
	if a.Ending == request.EndedBroken {
		a.MayHaveRun = false
		return request.Verdict{Action: request.Refuse, Code: code.NoEndpoint}
	}
	return request.Classify(now, *a)
}

// rerunUnrepeatable retries a broken attempt even if the request is not idempotent.
func rerunUnrepeatable(now time.Time, a *request.AttemptOutcome) request.Verdict {
	if a.Ending == request.EndedBroken {
		return request.Verdict{Action: request.Retry}
	}
	return request.Classify(now, *a)
}

// hideLeaving hides from the daemons that boxes are leaving.
func hideLeaving(p process.Platform) process.Platform {
	p.Cloud, p.Boxes = cloudWithoutNotices{p.Cloud}, listWithoutLeaving{p.Boxes}
	return p
}

type cloudWithoutNotices struct{ seam.Cloud }

func (cloudWithoutNotices) Notices(context.Context) ([]seam.Notice, error) { return nil, nil }

type listWithoutLeaving struct{ seam.BoxList }

func (l listWithoutLeaving) List(ctx context.Context, since int64) (seam.BoxPage, error) {
	p, err := l.BoxList.List(ctx, since)
	for i := range p.Boxes {
		if p.Boxes[i].State == seam.BoxLeaving {
			p.Boxes[i].State = seam.BoxLive
		}
	}
	return p, err
}

// revertVersions returns the previous version at every 31st read by an operator.
func revertVersions() func(d *process.Daemon, inForce int64) int64 {
	reads := 0
	return func(_ *process.Daemon, inForce int64) int64 {
		if reads++; reads%31 == 0 {
			return inForce - 1
		}
		return inForce
	}
}

// TestPlantedFaultsAreFound verifies that the check of each guarantee detects a violation.
func TestPlantedFaultsAreFound(t *testing.T) {
	for i, f := range plantedFaults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			for n := range maxDetectionRuns {
				o := randomScript().Example(n)
				o.Hooks = f.hooks
				r := virtual(t, o)
				if p := r.Promises()[i]; !p.Held {
					t.Logf("found in run %d: %s: %s; script %v", n+1, p.Text, p.Note, o.Script)
					return
				}
			}
			require.Fail(t, "planted fault not detected", "%s in %d runs", f.name, maxDetectionRuns)
		})
	}
}
