// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/code"
	"streambend.example/entry"
	"streambend.example/mechanism"
	"streambend.example/platform"
)

// entryCommand runs a daemon on an entry box of the users' platform.
type entryCommand struct {
	Settings string   `long:"settings" env:"STREAMBEND_SETTINGS" value-name:"FILE" description:"settings that the platform writes"`
	Metrics  string   `long:"metrics" value-name:"HOST:PORT" description:"address for the metrics, besides the one for other daemons; none if empty"`
	Without  []string `long:"without" value-name:"NAME" description:"switches a mechanism off, for comparison; may be repeated"`
	List     bool     `long:"mechanisms" description:"list the mechanisms that --without takes, without running"`
	Check    bool     `long:"check" description:"check the settings and say what was read, without running"`
}

func (c *entryCommand) readSite() (platform.Site, error) {
	if c.Settings == "" {
		return platform.Site{}, usageError{code.New(code.BadSettings, "no settings: name a file with --settings or %s", platform.SettingsVariable)}
	}
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
	// memoryLimitShare is the fraction of the box's memory set as the soft memory limit,
	// near which the garbage collector runs more often.
	memoryLimitShare = 0.5
	// gcPercent is the GC percentage: how far the heap may grow over the live heap
	// between two collections. It is low because memory is scarcer than CPU time here.
	gcPercent = 40
	// settingsPollPeriod is the polling period of the settings file, which may change
	// without a signal.
	settingsPollPeriod = 2 * time.Second
)

// limitMemory configures the garbage collector for the box's memory.
func limitMemory(s platform.Site) {
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	if c.List {
		mechanism.List(os.Stdout)
		return nil
	}
	without, err := mechanism.Parse(c.Without)
	if err != nil {
		return usageError{err}
	}
	site, err := c.readSite()
	if err != nil {
		return err
	}
	if c.Check {
		os.Stdout.WriteString(site.String() + "\n")
		return nil
	}
	limitMemory(site)
	lines := entry.NewLines(os.Stdout)
	defer lines.Close()
	log := entry.NewLog(lines)
	d, err := entry.New(site, entry.Network(), log, without)
	if err != nil {
		return errors.Wrap(err, "entry")
	}
	if c.Metrics != "" {
		d.ServeMetrics(c.Metrics)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Signals stay caught until the process has stopped, so that a further one
	// does not kill it before its requests are done.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	c.watchSettings(ctx, hup, log, lines, d)
	d.Stop(context.Background())
	return nil
}

// watchSettings reloads the settings on SIGHUP or a file change until ctx ends.
func (c *entryCommand) watchSettings(ctx context.Context, hup <-chan os.Signal, log *logrus.Logger, lines *entry.Lines, d *entry.Daemon) {
	tick := time.NewTicker(settingsPollPeriod)
	defer tick.Stop()
	changed := c.settingsModTime()
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			forced = true
		case <-tick.C:
			lines.Report()
		}
		at := c.settingsModTime()
		if at.Equal(changed) && !forced {
			continue
		}
		changed = at
		site, err := c.readSite()
		if err != nil {
			log.WithField("part", "process").Warnf("reload: settings unchanged: %v", err)
			continue
		}
		limitMemory(site)
		d.Reload(site)
	}
}

// settingsModTime returns the settings file's modification time, or the zero time if it
// cannot be read.
func (c *entryCommand) settingsModTime() time.Time {
	info, err := os.Stat(c.Settings)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
