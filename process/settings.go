// SPDX-License-Identifier: MIT

package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/go-viper/mapstructure/v2"
	"github.com/pkg/errors"

	"streambend.example/cloud"
	"streambend.example/code"
	"streambend.example/version"
)

// Settings holds the settings of a daemon, as read from the JSON file.
type Settings struct {
	Name      string           `json:"name" validate:"required,max=64" doc:"name of this daemon, unique among the daemons"`
	Zone      string           `json:"zone" validate:"required,max=64" doc:"availability zone of its box"`
	Listen    Listen           `json:"listen" doc:"addresses to listen on"`
	Platform  PlatformSettings `json:"platform" doc:"the platform's services"`
	Peers     PeerSettings     `json:"peers" doc:"the other daemons"`
	Callers   []Caller         `json:"callers" validate:"dive" doc:"who may send requests"`
	Operators []Operator       `json:"operators" validate:"dive" doc:"who may send intents"`
	Pool      int              `json:"pool" validate:"gte=1,lte=1000000" doc:"boxes of the shared pool; the same at every daemon"`
	Limits    Limits           `json:"limits" doc:"bounds on what callers may send"`
	Timing    Timing           `json:"timing" doc:"periods and bounds of time"`
	Isolated  string           `json:"isolated" validate:"oneof=unready serve" doc:"with neither table nor peers: unready, or serve the old configuration"`
	Route     string           `json:"route" validate:"oneof=ours random least-loaded" doc:"routing policy; others than ours are for comparison"`
	Move      string           `json:"move" validate:"oneof=ours restart resume export" doc:"policy for streams on leaving boxes; others than ours are for comparison"`
	Place     string           `json:"place" validate:"oneof=ours on-demand greedy spread" doc:"placement policy; others than ours are for comparison"`
	Log       LogSettings      `json:"log" doc:"what is logged"`
	TLS       TLSSettings      `json:"tls" doc:"certificate for callers and operators; none for plain HTTP"`
}

// Listen holds the addresses to listen on.
type Listen struct {
	Callers   string `json:"callers" validate:"required,hostname_port" doc:"host:port for callers and the balancer's checks"`
	Operators string `json:"operators" validate:"required,hostname_port" doc:"host:port for operators and metrics"`
	Peers     string `json:"peers" validate:"required,hostname_port" doc:"host:port for other daemons; they reach us there"`
}

// PlatformSettings configures access to the platform's services.
type PlatformSettings struct {
	Endpoint  string  `json:"endpoint" validate:"omitempty,url" doc:"URL of table and object store; empty for the region's own"`
	Region    string  `json:"region" validate:"required" doc:"region of table and object store"`
	KeyID     string  `json:"key_id" validate:"required" doc:"access key of table and object store"`
	Secret    string  `json:"secret" validate:"required" doc:"its secret"`
	Table     string  `json:"table" validate:"required" doc:"name of the table"`
	Bucket    string  `json:"bucket" validate:"required" doc:"name of the bucket"`
	Cloud     string  `json:"cloud" validate:"required,url" doc:"URL of the cloud API and the box list"`
	TableRate float64 `json:"table_rate" validate:"gt=0" doc:"calls a second to the table, at the most"`
	LoadRate  float64 `json:"load_rate" validate:"gt=0" doc:"orders a second to load weights, at the most"`
}

// PeerSettings configures the links to other daemons.
type PeerSettings struct {
	Secret string   `json:"secret" validate:"min=16" doc:"shared secret that signs the links; the same at every daemon"`
	Seeds  []string `json:"seeds" validate:"dive,hostname_port" doc:"peer addresses to try when the table does not answer"`
}

// Caller holds a team's token, identity and weight.
type Caller struct {
	TokenSHA256 string  `json:"token_sha256" validate:"len=64,hexadecimal" doc:"SHA-256 of the bearer token, in hex"`
	Partner     string  `json:"partner" validate:"required,max=64" doc:"partner of the team"`
	Team        string  `json:"team" validate:"required,max=64" doc:"name of the team"`
	Weight      float64 `json:"weight" validate:"gt=0" doc:"share against the other teams"`
}

// Operator holds an operator's token, identity and role.
type Operator struct {
	TokenSHA256 string `json:"token_sha256" validate:"len=64,hexadecimal" doc:"SHA-256 of the bearer token, in hex"`
	Partner     string `json:"partner" validate:"required,max=64" doc:"partner whose intents it may see"`
	Name        string `json:"name" validate:"required,max=64" doc:"who it is, for the log"`
	Role        string `json:"role" validate:"oneof=operator reader" doc:"operator may change, reader may look"`
}

// Limits bounds the resources that callers may use.
type Limits struct {
	BodyBytes   int64 `json:"body_bytes" validate:"gte=1024,lte=1073741824" doc:"body of a request, and answer of a plain service"`
	HeaderBytes int   `json:"header_bytes" validate:"gte=1024,lte=1048576" doc:"headers of a request"`
	Queued      int   `json:"queued" validate:"gte=1,lte=1000000" doc:"requests that wait for one service"`
	Connections int   `json:"connections" validate:"gte=1,lte=1000000" doc:"connections of callers"`
	KeptAnswers int   `json:"kept_answers" validate:"gte=1,lte=1000000" doc:"finished answers kept for callers who come back with their key"`
}

// Timing holds periods and timeouts.
type Timing struct {
	Deadline  version.Duration `json:"deadline" doc:"of a request whose caller and route name none"`
	Grace     version.Duration `json:"grace" doc:"how long past its deadline a running request goes on"`
	FirstWait version.Duration `json:"first_wait" doc:"an endpoint that has sent nothing by then is taken as broken"`
	Stall     version.Duration `json:"stall" doc:"an endpoint that pauses so long within an answer is taken as broken"`
	Unready   version.Duration `json:"unready" doc:"from unready to the closing of the listener, for the balancer to notice"`
	Drain     version.Duration `json:"drain" doc:"how long a planned stop waits for requests in flight before it hands them over"`
	Lease     version.Duration `json:"lease" doc:"term of a lease"`
	Watch     version.Duration `json:"watch" doc:"between two looks at an endpoint's load"`
	List      version.Duration `json:"list" doc:"between two looks at the box list, for each two daemons of a zone, and twice that often at the notices, for each two daemons of all"`
	Poll      version.Duration `json:"poll" doc:"between two looks at the configuration log, for each two daemons of a zone"`
	Hold      version.Duration `json:"hold" doc:"how long there must be a surplus before a box is stopped"`
}

// LogSettings configures logging.
type LogSettings struct {
	Level string `json:"level" validate:"oneof=debug info warning error" doc:"least severity"`
	JSON  bool   `json:"json" doc:"JSON lines instead of text"`
}

// TLSSettings configures the TLS certificate.
type TLSSettings struct {
	Certificate string `json:"certificate" validate:"required_with=Key" doc:"file of the certificate chain"`
	Key         string `json:"key" validate:"required_with=Certificate" doc:"file of its key"`
}

// Problem describes one invalid setting.
type Problem struct {
	Code code.Code
	Path string // JSON path
	Text string
}

// String returns the problem on one line.
func (p Problem) String() string { return fmt.Sprintf("%s: %s: %s", p.Code, p.Path, p.Text) }

// Problems lists all invalid settings of a file.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, x := range p {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// ReadSettings reads and validates settings. Settings missing from the file keep
// their defaults. For invalid settings the error is a Problems that lists all of them.
func ReadSettings(r io.Reader) (Settings, error) {
	s := DefaultSettings()
	b, err := io.ReadAll(r)
	if err != nil {
		return s, errors.Wrap(err, "process: settings")
	}
	var tree map[string]any
	dec := json.NewDecoder(bytes.NewReader(b))
	if err := dec.Decode(&tree); err != nil {
		return s, Problems{{code.BadSettings, "$", err.Error()}}
	}
	if dec.More() {
		return s, Problems{{code.BadSettings, "$", "more than one JSON value"}}
	}
	problems := decodeTree(tree, &s)
	problems = append(problems, s.check()...)
	if len(problems) > 0 {
		return s, problems
	}
	return s, nil
}

// decodeTree decodes tree into s. On some errors the decoder stops without
// reporting unknown fields, so invalid values are removed from the tree and the
// rest is decoded again until no error remains.
func decodeTree(tree map[string]any, s *Settings) Problems {
	var out Problems
	for {
		unused, err := decodeOnce(tree, s)
		if err == nil {
			for _, u := range unused {
				out = append(out, Problem{code.UnknownField, "$." + u, "no such setting"})
			}
			return out
		}
		for _, e := range joinedErrors(err) {
			var de *mapstructure.DecodeError
			if !errors.As(e, &de) || !remove(tree, de.Name()) {
				return append(out, Problem{code.BadSettings, "$", e.Error()})
			}
			out = append(out, Problem{code.BadSettings, "$." + de.Name(), de.Unwrap().Error()})
		}
	}
}

func decodeOnce(tree map[string]any, s *Settings) (unused []string, err error) {
	var meta mapstructure.Metadata
	dec, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result: s, Metadata: &meta, TagName: "json",
		DecodeHook: mapstructure.TextUnmarshallerHookFunc(),
		MatchName:  func(key, field string) bool { return key == field },
	})
	if err != nil {
		return nil, err
	}
	err = dec.Decode(tree)
	slices.Sort(meta.Unused)
	return meta.Unused, err
}

// remove sets the value at a path such as callers[0].weight to nil, which the
// decoder skips. It reports whether there was a value.
func remove(v any, path string) bool {
	name, rest, deeper := strings.Cut(path, ".")
	name, index, listed := strings.Cut(name, "[")
	m, ok := v.(map[string]any)
	if !ok || m[name] == nil {
		return false
	}
	if !listed && !deeper {
		m[name] = nil
		return true
	}
	if !listed {
		return remove(m[name], rest)
	}
	list, ok := m[name].([]any)
	i, err := strconv.Atoi(strings.TrimSuffix(index, "]"))
	if !ok || err != nil || i >= len(list) || list[i] == nil {
		return false
	}
	if !deeper {
		list[i] = nil
		return true
	}
	return remove(list[i], rest)
}

// joinedErrors returns the errors that are joined in err.
func joinedErrors(err error) []error {
	if j, ok := err.(interface{ WrappedErrors() []error }); ok {
		return flatten(j.WrappedErrors())
	}
	if j, ok := err.(interface{ Unwrap() []error }); ok {
		return flatten(j.Unwrap())
	}
	return []error{err}
}

func flatten(errs []error) []error {
	var out []error
	for _, e := range errs {
		out = append(out, joinedErrors(e)...)
	}
	return out
}

// newValidator returns a validator that reports fields by their JSON names.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.Split(f.Tag.Get("json"), ",")[0]
	})
	return v
}

func (s *Settings) check() Problems {
	var out Problems
	var fields validator.ValidationErrors
	if errors.As(newValidator().Struct(s), &fields) {
		for _, f := range fields {
			_, path, _ := strings.Cut(f.Namespace(), ".")
			out = append(out, Problem{code.BadSettings, "$." + path, strings.TrimSpace("must be " + f.Tag() + " " + f.Param())})
		}
	}
	out = append(out, s.checkTimes()...)
	return append(out, s.checkTokens()...)
}

func (s *Settings) checkTimes() Problems {
	var out Problems
	v, t := reflect.ValueOf(s.Timing), reflect.TypeOf(s.Timing)
	for i := range t.NumField() {
		name := t.Field(i).Tag.Get("json")
		d := v.Field(i).Interface().(version.Duration)
		if d.Duration <= 0 && name != "unready" && name != "grace" && name != "hold" {
			out = append(out, Problem{code.BadSettings, "$.timing." + name, "must be more than 0"})
		}
	}
	return out
}

func (s *Settings) checkTokens() Problems {
	var out Problems
	seen := make(map[string]string)
	note := func(path, token string) {
		if first, ok := seen[token]; ok {
			out = append(out, Problem{code.BadSettings, path, "the token stands at " + first + " too"})
		}
		seen[token] = path
	}
	for i, c := range s.Callers {
		note(fmt.Sprintf("$.callers[%d].token_sha256", i), c.TokenSHA256)
	}
	for i, o := range s.Operators {
		note(fmt.Sprintf("$.operators[%d].token_sha256", i), o.TokenSHA256)
	}
	return out
}

// access returns the access parameters of the table and the object store.
func (p PlatformSettings) access() cloud.Access {
	return cloud.Access{Endpoint: p.Endpoint, Region: p.Region, KeyID: p.KeyID, Secret: p.Secret}
}
