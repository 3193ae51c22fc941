// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"streambend.example/seam"
)

// RunnerFault selects the faults that a Runner injects.
type RunnerFault struct {
	NotRun     bool   // rejects all requests without running them
	Fail       bool   // runs requests and responds with 500
	OtherID    bool   // responds with the id of another request
	CutAfter   int    // cuts a stream after this many events
	CutEvent   bool   // with CutAfter, cuts the stream within the next event
	NoResponse bool   // accepts requests and never responds
	NoLength   bool   // responds without a content length and closes the connection
	CutAnswer  bool   // cuts a response that is not a stream
	Lie        bool   // runs one request in ten and reports it as not executed
	FailEach   int    // responds with 500 to every n-th request that it runs; 0 for none
	Slower     int    // factor by which requests take longer; 0 means 1
	Limit      string // LimitHeader of all responses: the requests per second that it accepts; empty for none
	Leaving    string // LeavingHeader of all responses; empty for none
	Rest       string // with NotRun, the Retry-After header in seconds; empty for none
	CrashOn    string // crashes on a request whose body contains this string; empty for never
	CrashPart  string // crashes as it begins to answer a prompt that has this part, unless it is the last; empty for never
	Slots      int    // requests that it runs at once, with Queue more waiting; it rejects any more. 0 for no bound
	Queue      int
	Header     [2]string // name and value of a further header of all responses; empty for none
	Brittle    string    // BrittleHeader of all responses; empty for none
}

// Ran is a request that a Runner has executed.
type Ran struct {
	ID       string
	Method   string
	Target   string
	Body     string
	Header   http.Header
	Left     bool // the caller disconnected during execution
	Instance string
	At       time.Time
}

// Runner is a stand-in for an endpoint of the users' platform: a plain service, or
// an engine that responds with a stream of numbered events.
type Runner struct {
	Instance string
	Born     int64          // start time in Unix milliseconds; 0 to leave it out of the row
	Version  string         // software version; empty for v1
	Events   int            // number of events in a stream; 0 for a plain service
	Pace     time.Duration  // time between two events, or duration of a plain request
	ByPath   map[string]int // number of events by path prefix, overrides Events
	Marked   bool           // each event of a stream carries the software version

	OnCrash func() // called once it has crashed; may be nil

	server *http.Server
	addr   string

	mu       sync.Mutex
	fault    RunnerFault
	ran      []Ran
	arrivals []Arrival
	running  int
	waiting  int
	rejected []time.Time   // requests rejected for want of room
	freed    chan struct{} // closed and replaced as a request ends
}

// NewRunner starts a server for a runner at an address.
func NewRunner(n seam.Network, address, instance string, events int, pace time.Duration) (*Runner, error) {
	r := &Runner{Instance: instance, Events: events, Pace: pace}
	var err error
	r.server, r.addr, err = listenAt(n, address, http.HandlerFunc(r.serve))
	return r, err
}

// Address returns host:port.
func (r *Runner) Address() string { return r.addr }

// Close stops the runner and closes its connections.
func (r *Runner) Close() { r.server.Close() }

// SetFault replaces the injected faults.
func (r *Runner) SetFault(f RunnerFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Ran returns the requests that were executed.
func (r *Runner) Ran() []Ran {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Ran(nil), r.ran...)
}

// Entry returns the runner's row in the store of endpoints.
func (r *Runner) Entry(service, zone, state string) []byte {
	return r.EntryAt(r.addr, service, zone, state)
}

// EntryAt is Entry for a runner that is reachable at another address.
func (r *Runner) EntryAt(address, service, zone, state string) []byte {
	e := map[string]any{
		"service": service, "address": address, "zone": zone, "state": state, "slots": 8, "sequence": 1,
		"version": "v1", "cold_remaining_ms": 0,
	}
	if r.Version != "" {
		e["version"] = r.Version
	}
	if r.Born > 0 {
		e["born"] = r.Born
	}
	b, _ := json.Marshal(e) // a map of strings and numbers always encodes
	return b
}

// Arrival is a request that a Runner has received, executed or not.
type Arrival struct {
	ID   string
	At   time.Time
	Rest string // Retry-After of the answer; empty for none
}

// Arrivals returns the requests that the runner has received.
func (r *Runner) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}

// ArrivalTimes returns the arrival times of the received requests.
func (r *Runner) ArrivalTimes() (out []time.Time) {
	for _, a := range r.Arrivals() {
		out = append(out, a.At)
	}
	return out
}

// Response headers by which a runner announces its rate limit in requests per second, that it is
// leaving, and for how many seconds callers should send nothing.
const (
	LimitHeader      = "Server-Limit"
	LeavingHeader    = "Server-Leaving"
	BrittleHeader    = "Server-Brittle"
	retryAfterHeader = "Retry-After"
)

func (r *Runner) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	f := r.fault
	id := q.Header.Get("Streambend-Request-Id")
	a := Arrival{ID: id, At: time.Now()}
	if f.NotRun {
		a.Rest = f.Rest
	}
	r.arrivals = append(r.arrivals, a)
	r.mu.Unlock()
	h := w.Header()
	h["Date"] = nil // so that a test sees only the headers that the code under test adds
	h.Set("Streambend-Request-Id", id)
	h.Set("Streambend-Server-Load", "1,0,8")
	if f.Header[0] != "" {
		h.Set(f.Header[0], f.Header[1])
	}
	if f.Brittle != "" {
		h.Set(BrittleHeader, f.Brittle)
	}
	if f.Slots > 0 {
		if !r.enter(f) {
			h.Set("Streambend-Server-Load", r.load(f))
			h.Set("Streambend-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer r.leave()
		h.Set("Streambend-Server-Load", r.load(f))
	}
	if f.Limit != "" {
		h.Set(LimitHeader, f.Limit)
	}
	if f.Leaving != "" {
		h.Set(LeavingHeader, f.Leaving)
	}
	switch {
	case q.Header.Get("Streambend-Expected-Instance") != r.Instance:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case f.NotRun:
		h.Set("Streambend-Not-Executed", "1")
		if f.Rest != "" {
			h.Set(retryAfterHeader, f.Rest)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	at := r.begin(Ran{ID: id, Method: q.Method, Target: q.RequestURI, Body: string(body), Header: q.Header.Clone(), Instance: r.Instance, At: time.Now()})
	if f.Lie && at%10 == 9 {
		h.Set("Streambend-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.Set("Streambend-Server-Signature", "signed by "+r.Instance)
	switch {
	case f.CrashOn != "" && strings.Contains(string(body), f.CrashOn):
		r.crash()
	case f.CrashPart != "" && hasPart(q, f.CrashPart):
		time.Sleep(2 * r.Pace)
		r.crash()
	case f.NoResponse:
		<-q.Context().Done()
		r.recordDisconnect(at)
		return
	case f.Fail, f.FailEach > 0 && at%f.FailEach == 0:
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, "failed")
		return
	case f.OtherID:
		h.Set("Streambend-Request-Id", "another")
	}
	if n := r.eventsFor(q.URL.Path); n > 0 {
		r.stream(w, q, f, at, n)
		return
	}
	time.Sleep(f.slowed(r.Pace))
	r.respond(w, f, "answer to "+id)
}

// enter waits for a slot, or reports that there is no room.
func (r *Runner) enter(f RunnerFault) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= f.Slots && r.waiting >= f.Queue {
		r.rejected = append(r.rejected, time.Now())
		return false
	}
	r.waiting++
	for r.running >= f.Slots {
		if r.freed == nil {
			r.freed = make(chan struct{})
		}
		freed := r.freed
		r.mu.Unlock()
		<-freed
		r.mu.Lock()
	}
	r.waiting--
	r.running++
	return true
}

func (r *Runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if r.freed != nil {
		close(r.freed)
		r.freed = nil
	}
}

func (r *Runner) load(f RunnerFault) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", r.running, r.waiting, f.Slots)
}

// Rejected returns when requests were rejected for want of room.
func (r *Runner) Rejected() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.rejected...)
}

// slowed returns a duration scaled by Slower.
func (f RunnerFault) slowed(usual time.Duration) time.Duration {
	return time.Duration(max(f.Slower, 1)) * usual
}

func (r *Runner) begin(x Ran) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran = append(r.ran, x)
	return len(r.ran) - 1
}

func (r *Runner) recordDisconnect(at int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[at].Left = true
}

func (r *Runner) respond(w http.ResponseWriter, f RunnerFault, text string) {
	switch {
	case f.CutAnswer:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)+10))
		fmt.Fprint(w, text)
		panic(http.ErrAbortHandler)
	case f.NoLength:
		c, buf, err := hijack(w)
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprint(buf, text)
		buf.Flush()
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		fmt.Fprint(w, text)
	}
}

// eventsFor returns the number of events in the response to a path.
func (r *Runner) eventsFor(path string) int {
	for prefix, n := range r.ByPath {
		if strings.HasPrefix(path, prefix) {
			return n
		}
	}
	return r.Events
}

func (r *Runner) stream(w http.ResponseWriter, q *http.Request, f RunnerFault, at, events int) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // absent: from the start
	out, flush := io.Writer(w), http.NewResponseController(w).Flush
	if f.NoLength {
		c, buf, err := hijack(w)
		if err != nil {
			return
		}
		defer c.Close()
		out, flush = buf, buf.Flush
	}
	for i := from + 1; i <= events; i++ {
		if f.CutAfter > 0 && i > f.CutAfter {
			if f.CutEvent {
				fmt.Fprintf(out, "id: %d\nda", i)
			}
			if f.NoLength {
				flush()
				return
			}
			panic(http.ErrAbortHandler)
		}
		select {
		case <-q.Context().Done():
			r.recordDisconnect(at)
			return
		case <-time.After(f.slowed(r.Pace)):
		}
		fmt.Fprintf(out, "id: %d\ndata: event %d%s\n\n", i, i, r.mark())
		flush()
	}
}

// mark returns what follows the number in the data of an event.
func (r *Runner) mark() string {
	if !r.Marked {
		return ""
	}
	return " of " + r.Version
}

// listenAt starts a server at an address.
func listenAt(n seam.Network, address string, h http.Handler) (*http.Server, string, error) {
	l, err := n.Listen(address)
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h}
	go s.Serve(l) // returns when the server is closed
	return s, addressOf(l), nil
}

func addressOf(l net.Listener) string { return l.Addr().String() }
