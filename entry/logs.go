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
	// logQueue is how many lines may wait to be written.
	logQueue = 512
	// logRate and logBurst bound the lines a second, so that a flood of errors
	// costs neither processor nor memory that requests need.
	logRate  = 200
	logBurst = 400
)

// Lines writes log lines without ever holding up who logs: what does not fit is
// left out and counted.
type Lines struct {
	out   io.Writer
	lines chan []byte
	limit *rate.Limiter
	lost  atomic.Int64
	done  chan struct{}
}

// NewLines returns a writer to out.
func NewLines(out io.Writer) *Lines {
	l := &Lines{out: out, lines: make(chan []byte, logQueue), limit: rate.NewLimiter(logRate, logBurst), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for line := range l.lines {
			l.out.Write(line) // there is nowhere to tell of an error
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

// Report writes how many lines were left out since the last report.
func (l *Lines) Report() {
	if n := l.lost.Swap(0); n > 0 {
		select {
		case l.lines <- fmt.Appendf(nil, "{\"level\":\"warning\",\"part\":\"logs\",\"lost\":%d,\"msg\":\"lines left out\"}\n", n):
		default:
			l.lost.Add(n)
		}
	}
}

// Close writes what waits and ends the writer; nothing may be written after.
func (l *Lines) Close() {
	l.Report()
	close(l.lines)
	<-l.done
}

// NewLog returns a logger of JSON lines.
func NewLog(l *Lines) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(l)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	return log
}
