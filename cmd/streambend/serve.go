// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/code"
	"streambend.example/process"
	"streambend.example/seam"
)

// settingsFile reads the settings that a command names.
type settingsFile struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON file of settings"`
}

func (f settingsFile) read() (process.Settings, error) {
	file, err := os.Open(f.Settings)
	if err != nil {
		return process.Settings{}, usageError{code.New(code.BadSettings, "%v", err)}
	}
	defer file.Close()
	s, err := process.ReadSettings(file)
	if err != nil {
		return s, usageError{err}
	}
	return s, nil
}

// serveCommand runs a daemon until it receives a signal to stop.
type serveCommand struct{ settingsFile }

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	s, err := c.read()
	if err != nil {
		return err
	}
	log := logrus.New()
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	log.SetLevel(level)
	if s.Log.JSON {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	d, err := process.New(s, process.NewPlatform(s, seam.TCP{}), log)
	if err != nil {
		return code.New(code.BadSettings, "%v", err)
	}
	a := d.Addresses()
	log.WithField("part", "process").Infof("serve: %s, callers %s, operators %s, peers %s", s.Name, a.Callers, a.Operators, a.Peers)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	// A second signal cancels the wait for requests in flight.
	again, stopAgain := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopAgain()
	d.Stop(again)
	return nil
}

// checkCommand validates a settings file.
type checkCommand struct{ settingsFile }

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	s, err := c.read()
	if err != nil {
		return err
	}
	fmt.Printf("settings of %s in %s: ok\n", s.Name, s.Zone)
	return nil
}

// versionCommand prints the version.
type versionCommand struct{}

// Execute implements flags.Commander.
func (versionCommand) Execute([]string) error {
	v := "unknown"
	if b, ok := debug.ReadBuildInfo(); ok {
		v = b.Main.Version + " " + b.GoVersion
	}
	fmt.Println("streambend", v)
	return nil
}
