// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// logQueue is the maximum number of lines waiting to be written.
	logQueue = 512
	// logRate and logBurst limit the lines per second, so that a flood of errors does not take CPU
	// and memory from requests.
	logRate  = 200
	logBurst = 400
)

// Lines writes log lines without blocking the caller: lines over the limits are dropped and counted.
type Lines struct {
	out   io.Writer
	lines chan []byte
	limit *rate.Limiter
	lost  atomic.Int64
	done  chan struct{}
}

// NewLines returns a Lines that writes to out.
func NewLines(out io.Writer) *Lines {
	l := &Lines{out: out, lines: make(chan []byte, logQueue), limit: rate.NewLimiter(logRate, logBurst), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for line := range l.lines {
			l.out.Write(line) // there is nowhere to report an error
		}
	}()
	return l
}

// Write implements io.Writer and never blocks.
func (l *Lines) Write(p []byte) (int, error) {
	if !l.limit.Allow() {
		l.lost.Add(1)
		return len(p), nil
	}
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.lost.Add(1)
	}
	return len(p), nil
}

// Report writes the number of lines dropped since the last report.
func (l *Lines) Report() {
	if n := l.lost.Swap(0); n > 0 {
		select {
		case l.lines <- fmt.Appendf(nil, "{\"level\":\"warning\",\"part\":\"logs\",\"lost\":%d,\"msg\":\"lines left out\"}\n", n):
		default:
			l.lost.Add(n)
		}
	}
}

// Close writes the waiting lines and ends the writer. Write must not be called after it.
func (l *Lines) Close() {
	l.Report()
	close(l.lines)
	<-l.done
}

// NewLog returns a logger that writes JSON lines to l.
func NewLog(l *Lines) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(l)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	return log
}
