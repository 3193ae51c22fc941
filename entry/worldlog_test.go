// SPDX-License-Identifier: MIT

package entry_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
)

// worldLogLines is the maximum number of lines kept, the newest ones.
const worldLogLines = 400_000

// worldLog keeps the logs of the daemons of a world and the unsuccessful answers, for the analysis of a
// failure.
type worldLog struct {
	mu    sync.Mutex
	lines []string
	next  int // where the next line goes once the log is full
}

// Write implements io.Writer.
func (l *worldLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) < worldLogLines {
		l.lines = append(l.lines, string(b))
		return len(b), nil
	}
	l.lines[l.next] = string(b)
	l.next = (l.next + 1) % worldLogLines
	return len(b), nil
}

// logger returns the logger of a daemon.
func (l *worldLog) logger(daemon string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(l)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	log.AddHook(daemonHook(daemon))
	return log
}

// daemonHook adds the daemon's name to each line.
type daemonHook string

// Levels implements logrus.Hook.
func (daemonHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h daemonHook) Fire(e *logrus.Entry) error {
	e.Data["daemon"] = string(h)
	return nil
}

// takenOver returns the number of requests with a prefix of their id that a daemon has taken over from others.
func (l *worldLog) takenOver(daemon, prefix string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, line := range l.lines {
		var e struct{ Daemon, Msg, Request string }
		err := json.Unmarshal([]byte(line), &e)
		if err == nil && e.Daemon == daemon && e.Msg == "taken over from another daemon" && strings.HasPrefix(e.Request, prefix) {
			n++
		}
	}
	return n
}

// logFailure logs an unsuccessful answer.
func (l *worldLog) logFailure(daemon int, id string, a answer) {
	l.logger("caller").WithFields(logrus.Fields{
		"at": daemon, "request": id, "status": a.status, "body": a.body, "error": a.err, "retry_after": a.header.Get("Retry-After"),
	}).Warn("unsuccessful answer")
}

// save writes the log to a file that outlives the run, and logs its path.
func (l *worldLog) save(t *testing.T) {
	dir := filepath.Join(os.TempDir(), "streambend-failed-worlds")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Logf("log of the world not saved: %v", err)
		return
	}
	name := fmt.Sprintf("%s-*.log", strings.NewReplacer("/", "-", " ", "_", ",", "").Replace(t.Name()))
	f, err := os.CreateTemp(dir, name)
	if err != nil {
		t.Logf("log of the world not saved: %v", err)
		return
	}
	defer f.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.lines {
		if _, err := f.WriteString(l.lines[(l.next+i)%len(l.lines)]); err != nil {
			t.Logf("log of the world is truncated: %v", err)
			return
		}
	}
	t.Logf("log of the world: %s", f.Name())
}
