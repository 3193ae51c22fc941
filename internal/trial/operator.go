// SPDX-License-Identifier: MIT

package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"streambend.example/process"
	"streambend.example/version"
)

// operatorClient is a client of a daemon's intent API for one partner.
type operatorClient struct {
	http  *http.Client
	base  string
	token string
}

func (w *world) operator(partner string, d *process.Daemon) operatorClient {
	return operatorClient{http: w.http, base: "http://" + d.Addresses().Operators, token: token("operator", partner, "ops")}
}

// refusedError is an error response of the intent API.
type refusedError struct {
	Status int
	Body   string
}

func (e *refusedError) Error() string { return e.Body }

func (o operatorClient) call(ctx context.Context, method, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "trial: encode operator request")
	}
	req, err := http.NewRequestWithContext(ctx, method, o.base+path, bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "trial: create operator request")
	}
	req.Header.Set("Authorization", "Bearer "+o.token)
	resp, err := o.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "trial: send operator request")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "trial: read operator response")
	}
	if resp.StatusCode != http.StatusOK {
		return &refusedError{resp.StatusCode, string(body)}
	}
	return errors.Wrap(json.Unmarshal(body, out), "trial: decode operator response")
}

// confirmation is the response to the confirmation of a plan.
type confirmation struct {
	Accepted int64 `json:"accepted"`
	InForce  int   `json:"in_force"`
	Daemons  int   `json:"daemons"`
}

// change submits an intent and confirms its plan.
func (o operatorClient) change(ctx context.Context, s version.Service) (confirmation, error) {
	var p version.Plan
	var c confirmation
	if err := o.call(ctx, http.MethodPost, "/v1/intents", s, &p); err != nil {
		return c, err
	}
	err := o.call(ctx, http.MethodPost, "/v1/plans/"+p.ID+"/confirm", nil, &c)
	return c, err
}

// row returns the version of a service that a daemon applies.
func (o operatorClient) row(ctx context.Context, name string) (version.Row, error) {
	var r version.Row
	err := o.call(ctx, http.MethodGet, "/v1/intents/"+name, nil, &r)
	return r, err
}
