// SPDX-License-Identifier: MIT

package process_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/code"
	"streambend.example/process"
)

func example(t testing.TB) string {
	b, err := os.ReadFile("../docs/settings.example.json")
	require.NoError(t, err)
	return string(b)
}

func TestExampleSettingsAreValid(t *testing.T) {
	s, err := process.ReadSettings(strings.NewReader(example(t)))
	require.NoError(t, err)
	assert.Equal(t, "entry-1", s.Name)
}

func TestReportsAllInvalidSettings(t *testing.T) {
	text := `{
		"name": "", "zone": 7, "pool": 0, "colour": "red", "isolated": "maybe",
		"listen": {"callers": "nowhere", "operators": "127.0.0.1:1", "peers": "127.0.0.1:2"},
		"platform": {"table_rate": "many", "cloud": "no url", "key_id": "k", "secret": "s", "regoin": "x"},
		"peers": {"secret": "short"},
		"callers": [{"token_sha256": "zz", "partner": "office", "team": "a", "weight": -1}],
		"timing": {"lease": "soon", "drain": "-1s"}
	}`
	_, err := process.ReadSettings(strings.NewReader(text))
	var problems process.Problems
	require.True(t, errors.As(err, &problems), "%v", err)
	got := make(map[string]code.Code)
	for _, p := range problems {
		got[p.Path] = p.Code
	}
	for _, path := range []string{
		"$.name", "$.zone", "$.pool", "$.isolated", "$.listen.callers", "$.platform.table_rate", "$.platform.cloud",
		"$.peers.secret", "$.callers[0].token_sha256", "$.callers[0].weight", "$.timing.lease", "$.timing.drain",
	} {
		assert.Equal(t, code.BadSettings, got[path], "%s in %v", path, err)
	}
	for _, path := range []string{"$.colour", "$.platform.regoin"} {
		assert.Equal(t, code.UnknownField, got[path], "%s in %v", path, err)
	}
}

func TestBrokenSettingsFiles(t *testing.T) {
	for _, text := range []string{"", "{", "[]", "null", `{"name": "a"} {}`, "\x00"} {
		_, err := process.ReadSettings(strings.NewReader(text))
		assert.Error(t, err, "%q", text)
	}
	twice := strings.Replace(example(t), `"callers": [`, `"callers": [{"token_sha256": "`+strings.Repeat("a", 64)+`", "partner": "p", "team": "t", "weight": 1}, {"token_sha256": "`+strings.Repeat("a", 64)+`", "partner": "p", "team": "u", "weight": 1}, `, 1)
	_, err := process.ReadSettings(strings.NewReader(twice))
	assert.ErrorContains(t, err, "$.callers[1].token_sha256")
}

// rows returns the table rows of docs/OPERATORS.md: one per setting, with its
// default and description.
func rows(path string, v reflect.Value) []string {
	var out []string
	t := v.Type()
	for i := range t.NumField() {
		f := t.Field(i)
		name := path + f.Tag.Get("json")
		field := v.Field(i)
		switch {
		case f.Type.Kind() == reflect.Struct && f.Type.Name() != "Duration":
			out = append(out, rows(name+".", field)...)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			out = append(out, rows(name+"[].", reflect.New(f.Type.Elem()).Elem())...)
		default:
			b, _ := json.Marshal(field.Interface())
			def := string(b)
			if field.IsZero() {
				def = ""
			}
			out = append(out, fmt.Sprintf("| `%s` | %s | %s |", name, strings.Trim(def, `"`), f.Tag.Get("doc")))
		}
	}
	return out
}

func TestOperatorsPageListsEverySetting(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATORS.md")
	require.NoError(t, err)
	var have []string
	_, section, _ := strings.Cut(string(page), "## Settings\n")
	section, _, _ = strings.Cut(section, "\n## ")
	for _, line := range strings.Split(section, "\n") {
		if strings.HasPrefix(line, "| `") {
			have = append(have, line)
		}
	}
	assert.Equal(t, rows("", reflect.ValueOf(process.DefaultSettings())), have)
}

func FuzzSettings(f *testing.F) {
	f.Add(example(f))
	f.Add(`{"timing": {"lease": 3}, "callers": {}}`)
	f.Fuzz(func(t *testing.T, text string) {
		s, err := process.ReadSettings(strings.NewReader(text))
		if err == nil && (s.Name == "" || s.Pool < 1 || s.Timing.Lease.Duration <= 0) {
			t.Fatalf("invalid settings accepted: %q", text)
		}
	})
}
