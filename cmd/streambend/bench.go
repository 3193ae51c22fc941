// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"streambend.example/code"
	"streambend.example/internal/trial"
)

// benchCommand compares the default policies with the baselines.
type benchCommand struct {
	Seed  uint64 `long:"seed" default:"1" description:"seed of the load"`
	Hours int    `long:"hours" default:"5" description:"recorded hours of placement to replay, 1 to 100"`
	JSON  bool   `long:"json" description:"print one JSON object"`
}

// Execute implements flags.Commander.
func (c *benchCommand) Execute(args []string) error {
	if len(args) > 0 {
		return usageError{code.New(code.BadCommand, "bench takes no argument %q", args[0])}
	}
	if c.Hours < 1 || c.Hours > 100 {
		return usageError{code.New(code.BadCommand, "--hours must be 1 to 100")}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o := trial.DefaultOptions()
	o.Seed = c.Seed
	b, err := trial.Compare(ctx, o, c.Hours, os.Stderr, os.Stderr)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(b)
	}
	b.Print(os.Stdout)
	return nil
}
