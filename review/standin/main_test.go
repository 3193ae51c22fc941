//go:build review

// The stand-ins of the review's cases. The file is built as a test so that it may use the project's own stand-ins; see
// ../build.sh.
package main

import (
	"fmt"
	"os"
	"testing"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// cases are the programs by name. They get the record, the product's program and a directory for settings and logs, and
// whether the disruption takes place.
var cases = map[string]func(rec *record, program, dir string, trouble bool) (int, error){
	"take-up":      takeUp,
	"added-route":  addedRoute,
	"planned-stop": plannedStop,
}

func TestMain(*testing.M) { os.Exit(run(os.Args)) }

func run(args []string) int {
	if len(args) != 5 || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD DIR")
		return exitUnable
	}
	rec, err := newRecord(args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer rec.out.Close()
	code, err := cases[args[1]](rec, args[2], args[4], os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.linef("the case could not run: %v", err)
		return exitUnable
	}
	return code
}
