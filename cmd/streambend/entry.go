// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pkg/errors"

	"streambend.example/code"
	"streambend.example/entry"
	"streambend.example/platform"
)

// entryCommand runs a daemon on an entry box of the users' platform.
type entryCommand struct {
	Settings string `long:"settings" env:"STREAMBEND_SETTINGS" required:"true" value-name:"FILE" description:"settings that the platform writes"`
}

func (c *entryCommand) read() (platform.Site, error) {
	file, err := os.Open(c.Settings)
	if err != nil {
		return platform.Site{}, usageError{code.New(code.BadSettings, "%v", err)}
	}
	defer file.Close()
	s, err := platform.ReadSite(file)
	if err != nil {
		return s, usageError{err}
	}
	return s, nil
}

const (
	// memoryShare is the part of the box's memory from which on the collector
	// works harder.
	memoryShare = 0.5
	// collectAt is by how much of the live heap, in per cent, it may grow
	// between two collections: memory is dearer than processor time here.
	collectAt = 40
)

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	site, err := c.read()
	if err != nil {
		return err
	}
	debug.SetGCPercent(collectAt)
	if site.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(site.MemoryBytes)))
	}
	lines := entry.NewLines(os.Stdout)
	defer lines.Close()
	d, err := entry.New(site, entry.Network(), entry.NewLog(lines))
	if err != nil {
		return errors.Wrap(err, "entry")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	<-ctx.Done()
	d.Stop(context.Background())
	return nil
}
