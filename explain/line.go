// SPDX-License-Identifier: MIT

package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is one log line of a daemon, with the fields that describe requests and roll-outs.
type Line struct {
	Box  string        // box that wrote the line
	At   time.Duration // since midnight, by the box's clock
	Text string

	Request, Service, Route, Team string
	Attempt                       int
	TimeLeft, Age                 time.Duration // until the deadline, since the arrival

	Daemon                 string // that the request is sent through, or comes from
	Endpoint, Zone, Why    string
	Load                   int
	LoadAge                time.Duration // age of Load; negative if no load was ever reported
	QueueWait, PrefillTime time.Duration // until the prompt's prefill starts; duration of its prefill
	UncachedTokens         int           // prompt tokens not in the engine's cache

	Ending, Then              string // how an attempt ended; the next action
	MayHaveRun                bool
	FirstEvent, FirstExpected time.Duration // to the first event

	EndpointVersion string // of the endpoint that the request is sent to, or of the stream that it takes up
	Resumes         string // request that began the stream, if this one takes it up
	AfterEvent      int64  // event after which it is resumed; 0 for a new stream
	Source          string // how the version is known
	Asked, Answered int    // daemons, about the version

	Code       int
	Ran        string
	Status     int
	RetryAfter time.Duration
	CatalogAge time.Duration
	Version    int64
	Dropped    int // lines dropped before this one

	Part          string // part of the daemon that logged the line
	Order         int64  // number of the order to move a service to a version
	Target, Stage string
	For, After    time.Duration // until the order's deadline; since the daemon learned of it
}

// wireLine is the JSON form of a log line.
type wireLine struct {
	Time       string `json:"time"`
	Text       string `json:"msg"`
	Request    string `json:"request"`
	Service    string `json:"service"`
	Route      string `json:"route"`
	Team       string `json:"team"`
	Attempt    int    `json:"attempt"`
	Left       int64  `json:"left_ms"`
	Age        int64  `json:"age_ms"`
	Daemon     string `json:"daemon"`
	From       string `json:"from"`
	Endpoint   string `json:"endpoint"`
	Zone       string `json:"zone"`
	Why        string `json:"why"`
	Load       int    `json:"load"`
	LoadAge    int64  `json:"load_age_ms"`
	Wait       int64  `json:"wait_ms"`
	Read       int64  `json:"read_ms"`
	Fresh      int    `json:"fresh_tokens"`
	Ending     string `json:"ending"`
	Then       string `json:"then"`
	MayHaveRun bool   `json:"may_have_run"`
	First      int64  `json:"first_ms"`
	Expected   int64  `json:"expected_ms"`
	Software   string `json:"endpoint_version"`
	Resumes    string `json:"resumes"`
	AfterEvent int64  `json:"after_event"`
	Source     string `json:"source"`
	Asked      int    `json:"asked"`
	Answered   int    `json:"answered"`
	Code       int    `json:"code"`
	Ran        string `json:"ran"`
	Status     int    `json:"status"`
	RetryAfter int64  `json:"retry_after_ms"`
	CatalogAge int64  `json:"catalog_age_ms"`
	Version    int64  `json:"version"`
	Lost       int    `json:"lost"`
	Part       string `json:"part"`
	Order      int64  `json:"order"`
	Target     string `json:"target"`
	Stage      string `json:"stage"`
	For        int64  `json:"for_ms"`
	After      int64  `json:"after_ms"`
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (w wireLine) decode(box string) (Line, error) {
	l := Line{
		Box: box, Text: w.Text, Request: w.Request, Service: w.Service, Route: w.Route, Team: w.Team, Attempt: w.Attempt,
		TimeLeft: millis(w.Left), Age: millis(w.Age), Daemon: cmp.Or(w.Daemon, w.From), Endpoint: w.Endpoint, Zone: w.Zone, Why: w.Why, Load: w.Load,
		LoadAge: millis(w.LoadAge), QueueWait: millis(w.Wait), PrefillTime: millis(w.Read), UncachedTokens: w.Fresh, Ending: w.Ending, Then: w.Then,
		MayHaveRun: w.MayHaveRun, FirstEvent: millis(w.First), FirstExpected: millis(w.Expected), Code: w.Code, Ran: w.Ran,
		Status: w.Status, RetryAfter: millis(w.RetryAfter), CatalogAge: millis(w.CatalogAge), Version: w.Version, Dropped: w.Lost,
		EndpointVersion: w.Software, Resumes: w.Resumes, AfterEvent: w.AfterEvent, Source: w.Source, Asked: w.Asked, Answered: w.Answered,
		Part: w.Part, Order: w.Order, Target: w.Target, Stage: w.Stage, For: millis(w.For), After: millis(w.After),
	}
	if w.Time == "" {
		return l, nil // the report of dropped lines has no time
	}
	at, err := time.Parse("15:04:05.000", w.Time)
	if err != nil {
		return l, errors.Wrap(err, "explain: time")
	}
	l.At = at.Sub(at.Truncate(24 * time.Hour))
	return l, nil
}

// maxLineBytes is the maximum length of a line in bytes.
const maxLineBytes = 1 << 20

// Log holds the log lines of any number of boxes; Sort puts them in order of time.
type Log struct {
	Lines      []Line
	Unparsed   int   // lines that could not be parsed
	Dropped    int   // lines that daemons report as dropped
	ParseError error // parse error of the last such line
}

// Read parses the lines of one box. Words before a line's JSON are stripped and the last
// of them overrides the box name, so that one file may hold the lines of many boxes.
func (l *Log) Read(box string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		l.add(box, s.Bytes())
	}
	return errors.Wrapf(s.Err(), "explain: lines of %s", box)
}

func (l *Log) add(box string, raw []byte) {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 {
		return
	}
	at := max(0, bytes.IndexByte(raw, '{'))
	if words := strings.Fields(string(raw[:at])); len(words) > 0 {
		box = words[len(words)-1]
	}
	var w wireLine
	err := json.Unmarshal(raw[at:], &w)
	var line Line
	if err == nil {
		line, err = w.decode(box)
	}
	if err != nil {
		l.Unparsed++
		l.ParseError = err
		return
	}
	l.Dropped += line.Dropped
	l.Lines = append(l.Lines, line)
}

// Sort orders the lines by time and keeps the order of lines with equal times.
func (l *Log) Sort() {
	slices.SortStableFunc(l.Lines, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
}
