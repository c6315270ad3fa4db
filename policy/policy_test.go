package policy

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// minimal is a valid file in which each section occurs once; test cases replace a part of it.
const minimal = `version: pathhead/v1
organisations:
  - name: a
    labels: {size: large}
    keys:
      - id: k
        sha256: 3f00000000000000000000000000000000000000000000000000000000000001
  - name: b
    keys: []
    weight: 5
groups:
  - name: large
    selector: size=large
    weight: 3
    limits: {requestsPerSecond: 10}
pools:
  - name: e
    kind: engine
    selector: s=e
  - name: p
    kind: service
    selector: s=p
models:
  - name: m
    weights: w1
    pool: e
    adapters: [fine]
routes:
  - name: r
    path: /r/
    pool: p
    timeout: 3s
    notRepeatable: [POST /r/seat]
policies:
  - name: desk
    selector: channel=desk
    priority: 7
requests:
  maxBody: 1MiB
`

func TestParseFaults(t *testing.T) {
	cases := map[string]struct {
		old, new string
		line     int
		message  string
	}{
		"empty":                   {old: minimal, new: "", message: "empty"},
		"other version":           {old: "pathhead/v1", new: "pathhead/v9", line: 1, message: "must be \"pathhead/v1\""},
		"unknown field":           {old: "labels:", new: "lables:", line: 4, message: "unknown field"},
		"not YAML":                {old: "organisations:", new: "organisations: [", message: ""},
		"duplicate organisation":  {old: "name: b", new: "name: a", line: 8, message: "is a duplicate"},
		"bad name":                {old: "name: b", new: "name: 'b b'", line: 8, message: "is not a name"},
		"short key hash":          {old: "000001", new: "01", line: 7, message: "64 hexadecimal digits"},
		"negative weight":         {old: "weight: 5", new: "weight: -5", line: 10, message: "negative"},
		"bad selector":            {old: "selector: size=large", new: "selector: 'size in large'", line: 13, message: "selector"},
		"unknown kind":            {old: "kind: engine", new: "kind: motor", line: 18, message: "must be engine, service or kept"},
		"unknown pool":            {old: "    pool: e", new: "    pool: x", line: 26, message: "no pool is named"},
		"pool of another kind":    {old: "    pool: e", new: "    pool: p", line: 26, message: "must be engine"},
		"time without unit":       {old: "timeout: 3s", new: "timeout: 3", line: 32, message: "with a unit"},
		"time below zero":         {old: "timeout: 3s", new: "timeout: -3s", line: 32, message: "more than 0"},
		"size without unit":       {old: "1MiB", new: "1000", line: 39, message: "with a unit"},
		"size over the bound":     {old: "1MiB", new: "1GiB", line: 39, message: "must be from"},
		"call off its route":      {old: "POST /r/seat", new: "POST /q/seat", line: 33, message: "not under the route's path"},
		"call without method":     {old: "POST /r/seat", new: "/r/seat", line: 33, message: "must be a method and a path"},
		"route over models":       {old: "path: /r/", new: "path: /v1/x/", line: 30, message: "hide the models' own paths"},
		"route without slash":     {old: "path: /r/", new: "path: /r", line: 30, message: "begin and end with a slash"},
		"number for a text field": {old: "weights: w1", new: "weights: [1]", message: ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(minimal, c.old, c.new, 1)
			require.NotEqual(t, minimal, text)
			_, err := Parse("f.yaml", []byte(text))
			require.Error(t, err)
			require.Contains(t, err.Error(), c.message)
			var p *Problem
			require.True(t, errors.As(err, &p))
			if c.line > 0 {
				require.Equal(t, c.line, p.Line, err.Error())
			}
		})
	}
}

func TestParseReportsAllFaults(t *testing.T) {
	text := strings.NewReplacer("kind: engine", "kind: motor", "weights: w1", "weights: ''", "path: /r/", "path: /").Replace(minimal)
	_, err := Parse("f.yaml", []byte(text))
	require.Error(t, err)
	lines := strings.Split(err.Error(), "\n")
	require.GreaterOrEqual(t, len(lines), 4, err.Error())
	for _, l := range lines {
		require.Regexp(t, `^f\.yaml:\d+: `, l)
	}
}

func compiled(t *testing.T, text string) *Snapshot {
	t.Helper()
	cfg, err := Parse("f.yaml", []byte(text))
	require.NoError(t, err)
	s, err := Compile(cfg, 4)
	require.NoError(t, err)
	return s
}

func TestSnapshot(t *testing.T) {
	s := compiled(t, minimal)
	a, ok := s.Org("a")
	require.True(t, ok)
	require.EqualValues(t, 3, a.Weight, "a group's weight is inherited")
	require.EqualValues(t, 10, a.Limits.RequestsPerSecond)
	b, _ := s.Org("b")
	require.EqualValues(t, 5, b.Weight, "an own weight goes before a group's")

	m, adapter, ok := s.Model("m:fine")
	require.True(t, ok)
	require.Equal(t, "fine", adapter)
	require.Equal(t, defaultMaxPromptTokens, m.MaxPromptTokens)
	_, _, ok = s.Model("m:rough")
	require.False(t, ok)

	r, ok := s.RouteFor("", "/r/seat")
	require.True(t, ok)
	require.Equal(t, 3*time.Second, time.Duration(r.Timeout))
	_, ok = s.RouteFor("", "/q/seat")
	require.False(t, ok)
	require.False(t, s.Repeatable("POST", "/r/seat"))
	require.False(t, s.Repeatable("POST", "/r/seat/"), "a trailing slash is no way around")
	require.True(t, s.Repeatable("GET", "/r/seat"))

	p, ok := s.PolicyFor(map[string]string{"channel": "desk"})
	require.True(t, ok)
	require.Equal(t, 7, p.Priority)
	require.Equal(t, defaultQueueTimeout, time.Duration(s.Config.Requests.QueueTimeout))
	require.Equal(t, defaultTimeout, s.Timeout())
}

func TestAuthenticate(t *testing.T) {
	const key = "demo-formosa-air"
	data, err := os.ReadFile("../examples/yunfeng.yaml")
	require.NoError(t, err)
	s := compiled(t, string(data))
	org, ok := s.Authenticate(key)
	require.True(t, ok)
	require.Equal(t, "formosa-air", org.Name)
	for _, wrong := range []string{"", "demo", key + "x", strings.ToUpper(key)} {
		_, ok := s.Authenticate(wrong)
		require.False(t, ok, wrong)
	}
}

func TestUnmatchedSelectors(t *testing.T) {
	s := compiled(t, minimal)
	warnings := s.Unmatched([]map[string]string{{"s": "e"}})
	require.Len(t, warnings, 1)
	require.Contains(t, warnings[0].Error(), "warning: pools[1].selector")
}

func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*.yaml")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, f := range files {
		data, err := os.ReadFile(f)
		require.NoError(t, err)
		_, err = Parse(f, data)
		require.NoError(t, err)
	}
}

// TestSchema checks that docs/schema.json lists exactly the fields that the code reads.
func TestSchema(t *testing.T) {
	data, err := os.ReadFile("../docs/schema.json")
	require.NoError(t, err)
	var schema any
	require.NoError(t, json.Unmarshal(data, &schema))
	documented := make(map[string]bool)
	schemaNames(schema, documented)
	read := make(map[string]bool)
	fieldNames(reflect.TypeFor[Config](), read)
	require.Equal(t, read, documented)
}

// schemaNames collects the names of all properties of a schema.
func schemaNames(node any, into map[string]bool) {
	switch node := node.(type) {
	case map[string]any:
		if properties, ok := node["properties"].(map[string]any); ok {
			for name := range properties {
				into[name] = true
			}
		}
		for _, child := range node {
			schemaNames(child, into)
		}
	case []any:
		for _, child := range node {
			schemaNames(child, into)
		}
	}
}

// fieldNames collects the YAML names of all fields of a type.
func fieldNames(typ reflect.Type, into map[string]bool) {
	switch typ.Kind() {
	case reflect.Slice:
		fieldNames(typ.Elem(), into)
	case reflect.Struct:
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("yaml"), ",")
			if name == "-" {
				continue
			}
			into[name] = true
			fieldNames(typ.Field(i).Type, into)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("version: pathhead/v1\norganisations: [{name: a, keys: [{}]}]\npools: []"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := Parse("f", data)
		if err != nil {
			return
		}
		_, err = Compile(cfg, 1)
		require.NoError(t, err, "what is valid compiles")
	})
}
