// SPDX-License-Identifier: MIT

package soak_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"streambend.example/internal/soak"
)

// Seed 319 once gave a daemon the same port for callers and for readiness, so
// that it ended at its start.
func TestAPortIsHandedOutOnce(t *testing.T) {
	var p soak.Ports
	seen := make(map[string]bool)
	for range 4000 {
		a, err := p.Next()
		require.NoError(t, err)
		require.False(t, seen[a], "%s was handed out before", a)
		seen[a] = true
	}
}
