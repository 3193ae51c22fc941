// SPDX-License-Identifier: MIT

// Package fuzz makes rapid's verdicts repeatable: the same seed and the same
// number of runs each time, unless the command line says otherwise.
//
//	func TestMain(m *testing.M) { fuzz.Main(m, 100) }
package fuzz

import (
	"flag"
	"os"
	"strconv"
	"testing"

	// It registers the flags that Main sets.
	_ "pgregory.net/rapid"
)

const seed = "20261202"

// Main runs the tests of a package with so many runs of each property.
func Main(m *testing.M, runs int) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for _, d := range []struct{ name, value string }{
		{"rapid.seed", seed}, {"rapid.checks", strconv.Itoa(runs)}, {"rapid.nofailfile", "true"},
	} {
		if given[d.name] {
			continue
		}
		if err := flag.Set(d.name, d.value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
