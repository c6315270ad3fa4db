package outer_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/internal/outer"
)

// outerTags are the struct tags that give a field its name outside the process.
var outerTags = []string{"json", "toml", "yaml", "env", "name"}

var nameLike = regexp.MustCompile(`^[A-Za-z0-9_/.{][^ \t\n]*$`)

// TestNames guards the names in tags, flags, variables, metrics, log keys and enums: a renamed tag or
// string compiles, and an old process, a stored row or an operator's tool misses the field.
func TestNames(t *testing.T) {
	var names []string
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		dir := filepath.ToSlash(filepath.Dir(strings.TrimPrefix(path, "../../")))
		if dir == "internal/outer" || strings.HasPrefix(dir, "tools") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, n := range fileNames(file) {
			names = append(names, dir+" "+n)
		}
		return nil
	})
	require.NoError(t, err)
	outer.Check(t, "testdata/names.txt", names)
}

// TestEvents guards the numbers and names of events, which operators' tools match in logs of any release.
func TestEvents(t *testing.T) {
	var names []string
	for _, e := range event.Catalogue() {
		names = append(names, strconv.Itoa(int(e.Code))+" "+e.Name+" "+e.Level.String())
	}
	outer.Check(t, "testdata/events.txt", names)
}

// fileNames returns the outer names of a file's tags and strings.
func fileNames(file *ast.File) []string {
	var names []string
	passed := make(map[ast.Node]bool)
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.StructType:
			names = append(names, fieldNames(n, passed)...)
		case *ast.BasicLit:
			if n.Kind != token.STRING || passed[n] {
				return true
			}
			if s, err := strconv.Unquote(n.Value); err == nil && nameLike.MatchString(s) {
				names = append(names, "string "+s)
			}
		}
		return true
	})
	return names
}

// fieldNames returns the names by which a struct's fields are written, with those of fields that
// encoding/json or kong name after the Go field because no tag does.
func fieldNames(s *ast.StructType, passed map[ast.Node]bool) []string {
	var names []string
	flags, encoded := false, false
	for _, f := range s.Fields.List {
		if f.Tag == nil {
			continue
		}
		passed[f.Tag] = true
		tag := fieldTag(f)
		_, help := tag.Lookup("help")
		_, asJSON := tag.Lookup("json")
		flags, encoded = flags || help, encoded || asJSON
		for _, key := range outerTags {
			if v, ok := tag.Lookup(key); ok {
				names = append(names, key+" "+v)
			}
		}
	}
	if !flags && !encoded {
		return names
	}
	for _, f := range s.Fields.List {
		tag := fieldTag(f)
		_, tagged := tag.Lookup("json")
		if _, named := tag.Lookup("name"); tagged || named {
			continue
		}
		for _, name := range f.Names {
			if name.IsExported() {
				names = append(names, "field "+name.Name)
			}
		}
	}
	return names
}

func fieldTag(f *ast.Field) reflect.StructTag {
	if f.Tag == nil {
		return ""
	}
	s, _ := strconv.Unquote(f.Tag.Value)
	return reflect.StructTag(s)
}
