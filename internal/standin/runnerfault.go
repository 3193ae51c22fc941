// SPDX-License-Identifier: MIT

package standin

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
)

// crash ends the runner, and the request that it serves.
func (r *Runner) crash() {
	r.Close()
	if r.OnCrash != nil {
		go r.OnCrash()
	}
	panic(http.ErrAbortHandler)
}

// hasPart reports whether a part of a request's prompt, other than the last, has an id.
func hasPart(q *http.Request, id string) bool {
	parts := strings.Split(q.Header.Get("Streambend-Prompt-Prefix"), ",")
	for _, p := range parts[:len(parts)-1] {
		if name, _, _ := strings.Cut(p, ":"); name == id {
			return true
		}
	}
	return false
}

// hijack writes the head of a response that ends with its connection, and returns what to write the rest to.
func hijack(w http.ResponseWriter) (net.Conn, *bufio.ReadWriter, error) {
	c, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, nil, err
	}
	fmt.Fprint(buf, "HTTP/1.1 200 OK\r\n")
	w.Header().Write(buf)
	fmt.Fprint(buf, "Connection: close\r\n\r\n")
	return c, buf, nil
}
