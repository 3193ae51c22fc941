// SPDX-License-Identifier: MIT

package soak_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"streambend.example/internal/soak"
)

// Guards against a daemon that exits at its start because it got the same port for callers and for
// readiness, as with seed 319.
func TestPortsAreUnique(t *testing.T) {
	var p soak.Ports
	seen := make(map[string]bool)
	for range 4000 {
		a, err := p.Next()
		require.NoError(t, err)
		require.False(t, seen[a], "%s was returned before", a)
		seen[a] = true
	}
}
