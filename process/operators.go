// SPDX-License-Identifier: MIT

package process

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"streambend.example/code"
	"streambend.example/conn"
	"streambend.example/seam"
	"streambend.example/version"
)

const planPart = "plan"

// maxIntentBytes is the maximum size of an intent's body in bytes.
const maxIntentBytes = 256 << 10

// operators handles the HTTP API for operators.
type operators struct {
	d      *Daemon
	log    *logrus.Entry
	tokens map[string]Operator
}

// newOperators returns the HTTP handler for the operators' address.
func newOperators(d *Daemon) http.Handler {
	o := &operators{d: d, log: d.log.WithField("part", "operators"), tokens: make(map[string]Operator)}
	for _, x := range d.Settings.Operators {
		o.tokens[strings.ToLower(x.TokenSHA256)] = x
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.HandleFunc("GET /metrics", o.requireRole("reader", o.serveMetrics))
	mux.HandleFunc("GET /v1/status", o.requireRole("reader", o.serveStatus))
	mux.HandleFunc("GET /v1/intents", o.requireRole("reader", o.serveList))
	mux.HandleFunc("GET /v1/intents/{name}", o.requireRole("reader", o.serveShow))
	mux.HandleFunc("POST /v1/intents", o.requireRole("operator", o.serveSubmit))
	mux.HandleFunc("POST /v1/intents/{name}/withdraw", o.requireRole("operator", o.serveWithdraw))
	mux.HandleFunc("GET /v1/plans/{id}", o.requireRole("reader", o.servePlan))
	mux.HandleFunc("POST /v1/plans/{id}/confirm", o.requireRole("operator", o.serveConfirm))
	return mux
}

// operatorFunc handles one authenticated request of an operator.
type operatorFunc func(ctx context.Context, who Operator, r *http.Request) (any, error)

// requireRole returns a handler that requires an operator token with at least the given role.
func (o *operators) requireRole(role string, f operatorFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		who, ok := o.tokens[bearerHash(r)]
		if !ok {
			writeError(w, code.New(code.UnknownToken, "send Authorization: Bearer with an operator's token"))
			return
		}
		if role == "operator" && who.Role != "operator" {
			writeError(w, code.New(code.NotYours, "%s may only look", who.Name))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxIntentBytes)
		v, err := f(r.Context(), who, r)
		var moved *conflictError
		switch {
		case errors.As(err, &moved):
			writeJSON(w, code.Conflict.Entry().Status, moved)
		case err != nil:
			writeError(w, err)
		default:
			writeJSON(w, http.StatusOK, v)
		}
	}
}

// conflictError is a conflict response that carries a new plan on the current base version.
type conflictError struct {
	errorBody
	Plan *version.Plan `json:"plan,omitempty"`
}

func (m *conflictError) Error() string { return m.errorBody.Error.Message }

// latestConfig returns the newest available configuration: the table's, or the locally
// active one while the table is down.
func (o *operators) latestConfig(ctx context.Context) *version.Config {
	c, fresh, err := o.d.config.log.Advance(ctx, o.d.Config())
	if err == nil {
		o.d.applyEntries(fresh, "table")
	}
	return c
}

func (o *operators) market(ctx context.Context) version.Market {
	prices, _ := o.d.platform.Cloud.Prices(ctx)
	return version.Market{Prices: prices, Pool: o.d.Settings.Pool}
}

func (o *operators) serveSubmit(ctx context.Context, who Operator, r *http.Request) (any, error) {
	var s version.Service
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, code.New(code.BadIntent, "%v", err)
	}
	if s.Partner == "" {
		s.Partner = who.Partner
	}
	if s.Partner != who.Partner {
		return nil, code.New(code.NotYours, "partner %s", s.Partner)
	}
	return o.plan(ctx, who, s, false)
}

func (o *operators) serveWithdraw(ctx context.Context, who Operator, r *http.Request) (any, error) {
	return o.plan(ctx, who, version.Service{Partner: who.Partner, Name: r.PathValue("name")}, true)
}

// plan makes a plan and stores it in the table, so that any daemon can confirm it.
func (o *operators) plan(ctx context.Context, who Operator, s version.Service, withdraw bool) (version.Plan, error) {
	now := time.Now()
	p, err := version.MakePlan(now, o.latestConfig(ctx), o.market(ctx), who.Name, s, withdraw)
	if err != nil {
		return p, err
	}
	v, err := json.Marshal(p)
	if err != nil {
		return p, errors.Wrap(err, "process: plan")
	}
	w := seam.Write{Key: planKey(p.Partner, p.ID), Value: v}
	if err := seam.Put(ctx, o.d.tables.config, uuid.NewString(), w); err != nil {
		return p, code.New(code.StoreDown, "the plan cannot be kept: %v", err).After(2 * time.Second)
	}
	o.log.Infof("plan: %s by %s for %s, base version %d, %.2f to %.2f an hour", p.ID, who.Name, s.Key(), p.Version, p.HourlyLow, p.HourlyHigh)
	return p, nil
}

func planKey(partner, id string) seam.Key {
	return seam.Key{Part: planPart, Sort: partner + "/" + id}
}

func (o *operators) load(ctx context.Context, who Operator, id string) (version.Plan, error) {
	var p version.Plan
	it, err := o.d.tables.config.Get(ctx, planKey(who.Partner, id))
	switch {
	case errors.Is(err, seam.ErrNotFound):
		return p, code.New(code.NoSuchPlan, "%s", id)
	case err != nil:
		return p, code.New(code.StoreDown, "%v", err).After(2 * time.Second)
	}
	return p, errors.Wrap(json.Unmarshal(it.Value, &p), "process: plan")
}

func (o *operators) servePlan(ctx context.Context, who Operator, r *http.Request) (any, error) {
	return o.load(ctx, who, r.PathValue("id"))
}

// confirmResult reports that a plan is durable, and which daemons have it active.
type confirmResult struct {
	Plan     string   `json:"plan"`
	Accepted int64    `json:"accepted"` // configuration version that contains the plan
	InForce  int      `json:"in_force"` // number of daemons with that version
	Daemons  int      `json:"daemons"`
	Missing  []string `json:"missing"`
}

// inForceWait is how long a confirm waits for all daemons to activate the version.
const inForceWait = 2 * time.Second

func (o *operators) serveConfirm(ctx context.Context, who Operator, r *http.Request) (any, error) {
	p, err := o.load(ctx, who, r.PathValue("id"))
	if err != nil {
		return nil, err
	}
	c, fresh, err := o.d.config.log.Confirm(ctx, time.Now(), o.d.Config(), o.d.Settings.Pool, p)
	if o.d.applyEntries(fresh, "confirm") {
		o.d.Hub.Broadcast(conn.Payload{Entries: fresh})
	}
	if err != nil {
		return nil, o.conflict(ctx, who, p, err)
	}
	o.log.Infof("confirm: plan %s by %s is version %d", p.ID, who.Name, c.Applied[p.ID])
	go func() {
		ctx, cancel := context.WithTimeout(o.d.ctx, 2*tableTimeout)
		defer cancel()
		if err := o.d.config.log.Snapshot(ctx, c); err != nil {
			o.log.Infof("snapshot: storing the configuration failed: %v", err)
		}
	}()
	return o.waitInForce(ctx, p.ID, c.Applied[p.ID]), nil
}

// waitInForce polls the daemons until all have a version active or inForceWait has passed.
func (o *operators) waitInForce(ctx context.Context, plan string, v int64) confirmResult {
	deadline := time.Now().Add(inForceWait)
	for {
		out := confirmResult{Plan: plan, Accepted: v, Missing: []string{}}
		for _, m := range o.d.versions(ctx) {
			out.Daemons++
			if m.Version >= v {
				out.InForce++
			} else {
				out.Missing = append(out.Missing, m.Name)
			}
		}
		if len(out.Missing) == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return out
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

// conflict adds a new plan to an error caused by an outdated plan, and returns other errors as they are.
func (o *operators) conflict(ctx context.Context, who Operator, p version.Plan, err error) error {
	switch code.Of(err) {
	case code.Conflict, code.PoolExceeded, code.PlanExpired:
	default:
		return err
	}
	body, _ := errorOf(err)
	m := &conflictError{errorBody: body}
	if again, aerr := o.plan(ctx, who, p.Service, p.Withdraw); aerr == nil {
		m.Plan = &again
	}
	return m
}

func (o *operators) serveList(_ context.Context, who Operator, _ *http.Request) (any, error) {
	out := []version.Row{}
	for _, row := range o.d.Config().Rows {
		if row.Service.Partner == who.Partner {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b version.Row) int { return strings.Compare(a.Service.Name, b.Service.Name) })
	return out, nil
}

func (o *operators) serveShow(_ context.Context, who Operator, r *http.Request) (any, error) {
	row, ok := o.d.Config().Rows[who.Partner+"/"+r.PathValue("name")]
	if !ok {
		return nil, code.New(code.NoSuchIntent, "%s", r.PathValue("name"))
	}
	return row, nil
}

func (o *operators) serveMetrics(context.Context, Operator, *http.Request) (any, error) {
	return o.d.registry.GetAll(), nil
}

// registerMetrics registers the metrics gauges.
func (d *Daemon) registerMetrics() {
	c := &d.Server.Count
	for name, v := range map[string]func() int64{
		"requests.accepted": c.Accepted.Load, "requests.complete": c.Complete.Load, "requests.late": c.Late.Load,
		"requests.refused": c.Refused.Load, "requests.unknown": c.Unknown.Load, "moves.all": c.Moves.Load,
		"moves.exports": c.Exports.Load, "attempts.retries": c.Retries.Load,
		"links.sent_bytes":     func() int64 { return d.Hub.Traffic().SentBytes },
		"links.received_bytes": func() int64 { return d.Hub.Traffic().ReceivedBytes },
		"config.version":       func() int64 { return d.Config().Version },
		"members":              func() int64 { return int64(len(d.Hub.Mesh.Members())) },
	} {
		d.registry.Register(name, metrics.NewFunctionalGauge(v))
	}
}
