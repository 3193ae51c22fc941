// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"streambend.example/code"
)

// The exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError is an error in the command's arguments or input files.
type usageError struct{ error }

func main() { os.Exit(run()) }

func run() int {
	p := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "streambend keeps language-model runners and plain services answering on reclaimable boxes."
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"try", "Run daemons among stand-ins, make things fail, and check every promise", newTry()},
		{"bench", "Compare our policies with the baselines", &benchCommand{}},
		{"serve", "Run a daemon", &serveCommand{}},
		{"entry", "Run a daemon on an entry box of the users' platform", &entryCommand{}},
		{"soak", "Run processes on loopback, make things fail from outside, and check every promise", &soakCommand{}},
		{"check", "Check a daemon's settings", &checkCommand{}},
		{"explain", "Tell from daemons' logs what became of requests", &explainCommand{}},
		{"intent", "Submit, confirm and look at intents", &intentCommand{}},
		{"status", "Show boxes, endpoints, leases and versions", &statusCommand{}},
		{"version", "Print the version", &versionCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.short, "", c.data); err != nil {
			panic(err)
		}
	}
	_, err := p.Parse()
	return report(err)
}

// report prints an error and returns the exit code.
func report(err error) int {
	var fe *flags.Error
	var ue usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Println(fe.Message)
		return 0
	case errors.As(err, &fe):
		fmt.Fprintln(os.Stderr, code.New(code.BadCommand, "%s", fe.Message))
		return exitUsage
	case errors.As(err, &ue):
		fmt.Fprintln(os.Stderr, ue.error)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
}
