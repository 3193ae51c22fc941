// SPDX-License-Identifier: MIT

// Package fuzz makes property tests with rapid reproducible: it sets a fixed seed
// and number of runs unless the command line sets them.
//
//	func TestMain(m *testing.M) { fuzz.Main(m, 100) }
package fuzz

import (
	"flag"
	"os"
	"strconv"
	"testing"

	// Registers the flags that Main sets.
	_ "pgregory.net/rapid"
)

const seed = "20261202"

// Main runs the tests of a package with the given number of runs per property.
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
