// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"streambend.example/code"
	"streambend.example/internal/trial"
)

// tryCommand runs trials of the whole system.
type tryCommand struct {
	Seed     uint64 `long:"seed" default:"1" description:"seed of load and faults"`
	Policy   string `long:"policy" default:"ours" description:"ours, or a baseline to compare with"`
	Fault    string `long:"fault" description:"a fault by name, or all, one after the other"`
	Daemons  int    `long:"daemons" default:"4" description:"how many daemons to run, 3 to 16"`
	JSON     bool   `long:"json" description:"print one JSON object, logs to standard error"`
	Hold     bool   `long:"hold" description:"keep running and print addresses"`
	LogLevel string `long:"log-level" default:"error" choice:"debug" choice:"info" choice:"warning" choice:"error" description:"least severity logged to standard error"`
}

func newTry() *tryCommand { return &tryCommand{} }

const (
	minTrialDaemons = 3
	maxTrialDaemons = 16
)

func (c *tryCommand) check() error {
	if !slices.Contains(trial.Policies(), c.Policy) {
		return usageError{code.New(code.BadCommand, "no policy %q; there are %s", c.Policy, strings.Join(trial.Policies(), ", "))}
	}
	if c.Fault != "" && c.Fault != "all" && !slices.Contains(trial.Faults(), c.Fault) {
		return usageError{code.New(code.BadCommand, "no fault %q; there are all, %s", c.Fault, strings.Join(trial.Faults(), ", "))}
	}
	if c.Daemons < minTrialDaemons || c.Daemons > maxTrialDaemons {
		return usageError{code.New(code.BadCommand, "--daemons must be %d to %d", minTrialDaemons, maxTrialDaemons)}
	}
	return nil
}

// Execute implements flags.Commander.
func (c *tryCommand) Execute(args []string) error {
	if len(args) > 0 {
		return usageError{code.New(code.BadCommand, "try takes no argument %q", args[0])}
	}
	if err := c.check(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	names := []string{c.Fault}
	if c.Fault == "all" {
		names = trial.Faults()
	}
	var reports []*trial.Report
	broken := 0
	for _, name := range names {
		r, err := c.runTrial(ctx, name)
		if err != nil {
			return err
		}
		reports = append(reports, r)
		if !r.Held() {
			broken++
		}
	}
	if err := c.print(reports); err != nil {
		return err
	}
	if broken > 0 {
		return code.New(code.PromiseBroken, "in %d of %d trials", broken, len(reports))
	}
	return nil
}

func (c *tryCommand) runTrial(ctx context.Context, fault string) (*trial.Report, error) {
	o := trial.DefaultOptions()
	o.Seed, o.Policy, o.Fault, o.Daemons, o.Hold, o.LogLevel = c.Seed, c.Policy, fault, c.Daemons, c.Hold, c.LogLevel
	if !c.JSON {
		o.Progress = os.Stdout
		if fault != "" {
			fmt.Printf("\n== fault %s\n", fault)
		}
	}
	r, err := trial.Run(ctx, o, os.Stderr)
	if err == nil && !c.JSON {
		fmt.Println()
		r.Print(os.Stdout)
	}
	return r, err
}

// print writes the reports as JSON: one object, or a list for all faults.
func (c *tryCommand) print(reports []*trial.Report) error {
	if !c.JSON {
		return nil
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if len(reports) == 1 {
		return enc.Encode(reports[0])
	}
	return enc.Encode(trialList{reports})
}

// trialList is the JSON of several trials.
type trialList struct {
	Trials []*trial.Report `json:"trials"`
}
