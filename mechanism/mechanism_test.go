// SPDX-License-Identifier: MIT

package mechanism_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/code"
	"streambend.example/mechanism"
)

func TestTheZeroSetLeavesAllOn(t *testing.T) {
	var s mechanism.Set
	assert.True(t, s.On(mechanism.StartTime))
	assert.Empty(t, s.String())
}

func TestParseSwitchesOffWhatIsNamed(t *testing.T) {
	s, err := mechanism.Parse([]string{mechanism.StartTime.String(), mechanism.StartTime.String()})
	require.NoError(t, err)
	assert.False(t, s.On(mechanism.StartTime))
	assert.Equal(t, "start-time", s.String())
}

func TestParseRefusesUnknownNames(t *testing.T) {
	_, err := mechanism.Parse([]string{"no-such-thing"})
	var e *code.Error
	require.ErrorAs(t, err, &e)
	assert.Equal(t, code.BadSettings, e.Code)
}

func TestEachMechanismHasANameAndALine(t *testing.T) {
	var b bytes.Buffer
	mechanism.List(&b)
	seen := make(map[string]bool)
	for line := range strings.Lines(b.String()) {
		name, what, ok := strings.Cut(strings.TrimSpace(line), " ")
		assert.True(t, ok && strings.TrimSpace(what) != "", "%q", line)
		assert.False(t, seen[name], "%s twice", name)
		seen[name] = true
	}
	assert.NotEmpty(t, seen)
}
