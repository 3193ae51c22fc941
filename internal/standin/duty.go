// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"streambend.example/seam"
)

// DutyCall is a call that the cloud API has accepted.
type DutyCall struct {
	Path   string
	Holder string
	Fence  int64
	Body   string
}

// ScaleCall is the body of a call that scales a service.
type ScaleCall struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Count   int    `json:"desired_count"`
	Spot    bool   `json:"spot"`
}

// Order decodes the body of a scale call.
func (c DutyCall) Order() (s ScaleCall) {
	json.Unmarshal([]byte(c.Body), &s) // an invalid body decodes to an order that fails the test's comparison
	return s
}

// DutyAPI is a stand-in for the cloud API of the users' platform.
type DutyAPI struct {
	server *http.Server
	addr   string

	mu            sync.Mutex
	calls         []DutyCall
	noReclaimable bool // no reclaimable capacity: such orders get 409
	loseResponses bool // accepts calls but responds with 500
}

// NewDutyAPI starts a server for the API at an address.
func NewDutyAPI(n seam.Network, address string) (*DutyAPI, error) {
	a := &DutyAPI{}
	var err error
	a.server, a.addr, err = listenAt(n, address, http.HandlerFunc(a.serve))
	return a, err
}

// Address returns host:port.
func (a *DutyAPI) Address() string { return a.addr }

// Close stops the server.
func (a *DutyAPI) Close() { a.server.Close() }

// SetNoReclaimable sets whether orders of reclaimable endpoints are rejected.
func (a *DutyAPI) SetNoReclaimable(noReclaimable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noReclaimable = noReclaimable
}

// SetLoseResponses sets whether calls take effect but get an error response.
func (a *DutyAPI) SetLoseResponses(lose bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loseResponses = lose
}

// Calls returns the accepted calls of a path.
func (a *DutyAPI) Calls(path string) []DutyCall {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []DutyCall
	for _, c := range a.calls {
		if c.Path == path {
			out = append(out, c)
		}
	}
	return out
}

func (a *DutyAPI) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	fence, errFence := strconv.ParseInt(r.Header.Get("Streambend-Fencing-Token"), 10, 64)
	if err != nil || errFence != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c := DutyCall{Path: r.URL.Path, Holder: r.Header.Get("Streambend-Duty-Holder"), Fence: fence, Body: string(body)}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.noReclaimable && c.Path == "/scale" && c.Order().Spot {
		w.WriteHeader(http.StatusConflict)
		return
	}
	a.calls = append(a.calls, c)
	if a.loseResponses {
		w.WriteHeader(http.StatusInternalServerError)
	}
}
