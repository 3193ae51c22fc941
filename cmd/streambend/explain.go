// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"streambend.example/code"
	"streambend.example/explain"
)

// explainCommand reports the outcomes of requests from daemons' logs.
type explainCommand struct {
	Request string `long:"request" value-name:"ID" description:"tells every decision on one request, across all boxes in order; without it a table by second and route"`
	Rollout string `long:"rollout" value-name:"SERVICE" description:"tells how a service's orders to move to another version went, and why they ended so"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute(args []string) error {
	if len(args) == 0 {
		return usageError{code.New(code.BadCommand, "explain takes the logs of some boxes, a file each, or - for standard input")}
	}
	var log explain.Log
	for _, name := range args {
		if err := readLog(&log, name); err != nil {
			return usageError{code.New(code.BadCommand, "%v", err)}
		}
	}
	log.Sort()
	if len(log.Lines) == 0 {
		return usageError{code.New(code.BadCommand, "no line of a daemon among %d; the last: %v", log.Unparsed, log.ParseError)}
	}
	c.warn(log)
	if c.Rollout != "" {
		return c.rollout(log)
	}
	if c.Request == "" {
		return explain.Print(os.Stdout, log.CountOutcomes())
	}
	story := log.DescribeRequest(c.Request)
	if len(story) == 0 {
		return code.New(code.NoSuchRequest, "no line of %d names the request %q", len(log.Lines), c.Request)
	}
	fmt.Println(strings.Join(story, "\n"))
	return nil
}

// rollout prints the progress of a service's roll-out orders.
func (c *explainCommand) rollout(log explain.Log) error {
	story := log.DescribeRollout(c.Rollout)
	if len(story) == 0 {
		return code.New(code.NoSuchRequest, "no line of %d tells of a roll-out of %q", len(log.Lines), c.Rollout)
	}
	fmt.Println(strings.Join(story, "\n"))
	return nil
}

// warn reports unparsed and dropped log lines on standard error.
func (c *explainCommand) warn(log explain.Log) {
	if log.Unparsed > 0 {
		fmt.Fprintf(os.Stderr, "%d lines are no daemon's, the last: %v\n", log.Unparsed, log.ParseError)
	}
	if log.Dropped > 0 {
		fmt.Fprintf(os.Stderr, "%d lines were left out by the daemons, which bound what they write\n", log.Dropped)
	}
}

// readLog reads a file, whose base name is the box's name, or standard input.
func readLog(log *explain.Log, name string) error {
	if name == "-" {
		return log.Read("stdin", os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	base := filepath.Base(name)
	return log.Read(strings.TrimSuffix(base, filepath.Ext(base)), f)
}
