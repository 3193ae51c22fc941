// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"streambend.example/code"
	"streambend.example/process"
	"streambend.example/version"
)

// remote holds the address of a daemon and the credentials for it.
type remote struct {
	URL   string `long:"url" required:"true" env:"STREAMBEND_URL" description:"operators' address of any daemon, such as http://127.0.0.1:8081"`
	Token string `long:"token" required:"true" env:"STREAMBEND_TOKEN" description:"operator's token"`
	JSON  bool   `long:"json" description:"print the answer as it is"`
}

const callTimeout = 30 * time.Second

// call sends one request and returns the response body.
func (r remote) call(method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequest(method, r.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, usageError{code.New(code.BadCommand, "%v", err)}
	}
	req.Header.Set("Authorization", "Bearer "+r.Token)
	resp, err := (&http.Client{Timeout: callTimeout}).Do(req)
	if err != nil {
		return nil, code.New(code.NoAnswer, "%v", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, code.New(code.NoAnswer, "%v", err)
	}
	if resp.StatusCode != http.StatusOK {
		return b, answerError(b)
	}
	return b, nil
}

// errorResponse is an error response of the intent API.
type errorResponse struct {
	Error struct {
		Message string `json:"message"`
	} `json:"error"`
	Plan *version.Plan `json:"plan"`
}

func answerError(b []byte) error {
	var e errorResponse
	if json.Unmarshal(b, &e) != nil || e.Error.Message == "" {
		return code.New(code.NoAnswer, "not a daemon's answer: %.100s", b)
	}
	if e.Plan != nil {
		fmt.Println("The base has moved. A fresh plan:")
		printPlan(*e.Plan)
	}
	return errors.New(e.Error.Message)
}

// get sends a request and prints the response as JSON or with show.
func get[T any](r remote, method, path string, body []byte, show func(T)) error {
	b, err := r.call(method, path, body)
	if err != nil {
		return err
	}
	if r.JSON {
		_, err = os.Stdout.Write(b)
		return err
	}
	var v T
	if err := json.Unmarshal(b, &v); err != nil {
		return code.New(code.NoAnswer, "%v", err)
	}
	show(v)
	return nil
}

// intentCommand groups the subcommands for intents.
type intentCommand struct {
	Submit   submitCommand   `command:"submit" description:"Submit an intent and see its plan; nothing changes"`
	Plan     planCommand     `command:"plan" description:"Show a plan again"`
	Confirm  confirmCommand  `command:"confirm" description:"Confirm a plan"`
	Show     showCommand     `command:"show" description:"Show an intent in force"`
	List     listCommand     `command:"list" description:"List the intents in force"`
	Withdraw withdrawCommand `command:"withdraw" description:"Ask for a plan that withdraws an intent"`
}

type submitCommand struct {
	remote
	File string `long:"file" required:"true" description:"JSON file of the intent, - for standard input"`
}

// Execute implements flags.Commander.
func (c *submitCommand) Execute([]string) error {
	in := os.Stdin
	if c.File != "-" {
		f, err := os.Open(c.File)
		if err != nil {
			return usageError{code.New(code.BadCommand, "%v", err)}
		}
		defer f.Close()
		in = f
	}
	body, err := io.ReadAll(in)
	if err != nil {
		return usageError{code.New(code.BadCommand, "%v", err)}
	}
	return get(c.remote, http.MethodPost, "/v1/intents", body, printPlan)
}

// nameArgument is the common part of commands that act on one named object.
type nameArgument struct {
	remote
	Args struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
}

type planCommand struct{ nameArgument }

// Execute implements flags.Commander.
func (c *planCommand) Execute([]string) error {
	return get(c.remote, http.MethodGet, "/v1/plans/"+c.Args.Name, nil, printPlan)
}

type withdrawCommand struct{ nameArgument }

// Execute implements flags.Commander.
func (c *withdrawCommand) Execute([]string) error {
	return get(c.remote, http.MethodPost, "/v1/intents/"+c.Args.Name+"/withdraw", nil, printPlan)
}

type confirmCommand struct{ nameArgument }

type confirmation struct {
	Accepted int64    `json:"accepted"`
	InForce  int      `json:"in_force"`
	Daemons  int      `json:"daemons"`
	Missing  []string `json:"missing"`
}

// Execute implements flags.Commander.
func (c *confirmCommand) Execute([]string) error {
	return get(c.remote, http.MethodPost, "/v1/plans/"+c.Args.Name+"/confirm", nil, func(a confirmation) {
		fmt.Printf("accepted as version %d\nin force at %d of %d daemons\n", a.Accepted, a.InForce, a.Daemons)
		for _, m := range a.Missing {
			fmt.Println("  not yet at", m)
		}
	})
}

type showCommand struct{ nameArgument }

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	return get(c.remote, http.MethodGet, "/v1/intents/"+c.Args.Name, nil, func(r version.Row) {
		b, _ := json.MarshalIndent(r.Service, "", "  ")
		fmt.Printf("changed last by version %d\n%s\n", r.Rev, b)
	})
}

type listCommand struct{ remote }

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	return get(c.remote, http.MethodGet, "/v1/intents", nil, func(rows []version.Row) {
		t := tabwriter.NewWriter(os.Stdout, 2, 8, 2, ' ', 0)
		fmt.Fprintln(t, "service\tkind\tboxes\tbound/h\tzones\tversion")
		for _, r := range rows {
			s := r.Service
			fmt.Fprintf(t, "%s\t%s\t%d..%d\t%.2f\t%v\t%d\n", s.Name, s.Kind, s.MinBoxes, s.MaxBoxes, s.HourlyBound, s.Zones, r.Rev)
		}
		t.Flush()
	})
}

func printPlan(p version.Plan) {
	fmt.Printf("plan %s for %s, made from version %d, to confirm before %s\n", p.ID, p.Service.Key(), p.Version, p.Expires.Format(time.RFC3339))
	for _, c := range p.Changes {
		fmt.Println("  change:", c)
	}
	for _, b := range p.Boxes {
		word := "on demand"
		if b.Reclaimable {
			word = "reclaimable"
		}
		fmt.Printf("  %d %s in %s, %s, %.2f an hour each\n", b.Count, b.Class, b.Zone, word, b.Hourly)
	}
	fmt.Printf("  cost an hour %.2f to %.2f\n", p.HourlyLow, p.HourlyHigh)
	fmt.Printf("  expected within the latency target: %.2f%%\n", 100*p.Attainment)
	fmt.Printf("  takes up to %d boxes of the pool and leaves %d\n", p.Pool, p.PoolLeft)
}

// statusCommand shows the system as one daemon sees it.
type statusCommand struct{ remote }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	return get(c.remote, http.MethodGet, "/v1/status", nil, printStatus)
}

func printStatus(s process.Status) {
	t := tabwriter.NewWriter(os.Stdout, 2, 8, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintf(t, "%s, ready %t, version %d\n\n", s.Daemon, s.Ready, s.Version)
	fmt.Fprintln(t, "daemon\tzone\tversion")
	for _, d := range s.Daemons {
		fmt.Fprintf(t, "%s\t%s\t%d\n", d.Name, d.Zone, d.Version)
	}
	fmt.Fprintln(t, "\nservice\tboxes\tdemand\trunning here\tqueued here\tlimit here\tcost/h\tbound/h")
	for _, x := range s.Services {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\n", x.Service, x.Boxes, x.Demand, x.Running, x.Queued, x.Limit, x.Hourly, x.HourlyBound)
	}
	fmt.Fprintln(t, "\nbox\tservice\tzone\tclass\treclaimable\tstate\tload\trequests\tejected\tcost/h")
	for _, x := range s.Endpoints {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%t\t%s\t%s\t%d\t%t\t%.2f\n", x.Box, x.Service, x.Zone, x.Class, x.Reclaimable, x.State, x.Load, x.Requests, x.Ejected, x.Hourly)
	}
	fmt.Fprintln(t, "\nlease\tholder\tepoch\there")
	for _, x := range s.Leases {
		fmt.Fprintf(t, "%s\t%s\t%d\t%t\n", x.Service, x.Holder, x.Epoch, x.Mine)
	}
	if len(s.Refused) > 0 {
		fmt.Fprintln(t, "\nrefused starts\tzone\tclass\treclaimable\tnot asked before")
	}
	for _, x := range s.Refused {
		fmt.Fprintf(t, "%s\t%s\t%s\t%t\t%s\n", x.Service, x.Kind.Zone, x.Kind.Class, x.Kind.Reclaimable, x.Until.Format(time.RFC3339))
	}
}
