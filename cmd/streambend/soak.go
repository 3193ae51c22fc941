// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"streambend.example/code"
	"streambend.example/internal/soak"
)

// soakCommand runs entry daemons as processes under fault injection.
type soakCommand struct {
	Seed    uint64        `long:"seed" description:"first seed; drawn from the time if 0"`
	Runs    int           `long:"runs" default:"1" description:"how many seeds, one after the other"`
	For     time.Duration `long:"for" default:"10s" description:"how long each runs"`
	Daemons int           `long:"daemons" default:"4" description:"processes, 2 to 100"`
	Callers int           `long:"callers" default:"12" description:"callers that send one request after the other"`
	Lie     bool          `long:"lie" description:"endpoints say of some requests that they have not run: the soak must find it"`
	Dir     string        `long:"dir" value-name:"DIR" description:"where logs are kept; a new one in the system's if empty"`
	Verbose bool          `long:"verbose" description:"print what happens"`
}

const (
	minSoakDaemons = 2
	maxSoakDaemons = 100
)

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	if c.Daemons < minSoakDaemons || c.Daemons > maxSoakDaemons || c.Runs < 1 || c.Callers < 1 || c.For <= 0 {
		return usageError{code.New(code.BadCommand, "--daemons must be %d to %d, --runs, --callers and --for more than 0", minSoakDaemons, maxSoakDaemons)}
	}
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().Unix())
	}
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	if c.Dir == "" {
		if c.Dir, err = os.MkdirTemp("", "streambend-soak-"); err != nil {
			return errors.Wrap(err, "soak")
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	broken := 0
	for i := range c.Runs {
		n, err := c.runSeed(ctx, program, c.Seed+uint64(i))
		if err != nil {
			return err
		}
		broken += n
	}
	if broken > 0 {
		return code.New(code.PromiseBroken, "%d promises broken; logs in %s", broken, c.Dir)
	}
	return errors.Wrap(os.RemoveAll(c.Dir), "soak")
}

// runSeed runs one seed and returns the number of violated guarantees.
func (c *soakCommand) runSeed(ctx context.Context, program string, seed uint64) (int, error) {
	dir := filepath.Join(c.Dir, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return 0, errors.Wrap(err, "soak")
	}
	o := soak.Options{Seed: seed, Span: c.For, Daemons: c.Daemons, Callers: c.Callers, Program: program, Dir: dir, Lie: c.Lie}
	if c.Verbose {
		o.Say = io.Writer(os.Stdout)
	}
	r, err := soak.Run(ctx, o)
	if err != nil {
		return 0, err
	}
	fmt.Printf("seed %d: asked %d, ran %d, events %d, answers", seed, r.Asked, r.Ran, sum(r.Events))
	for _, k := range slices.Sorted(maps.Keys(r.Answers)) {
		fmt.Printf(" %s: %d", k, r.Answers[k])
	}
	fmt.Printf("; broken %d\n", len(r.Broken))
	for _, b := range r.Broken {
		fmt.Println("  " + b)
	}
	return len(r.Broken), nil
}

func sum(m map[string]int) (n int) {
	for _, x := range m {
		n += x
	}
	return n
}
