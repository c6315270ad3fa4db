package policy

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Problem is one error or warning about a configuration, with its location in the file.
type Problem struct {
	File    string
	Line    int
	Path    string
	Message string
	// Warning marks a setting that is allowed but probably unintended.
	Warning bool
}

// Error formats the problem as file:line: path: message.
func (p *Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Warning {
		b.WriteString("warning: ")
	}
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Parse reads a configuration and fills in defaults. It returns all validation errors as *Problem
// values joined into one error.
func Parse(file string, data []byte) (*Config, error) {
	cfg, err := decode(file, data)
	if err != nil {
		return nil, err
	}
	cfg.setDefaults()
	problems := cfg.validate()
	if len(problems) == 0 {
		return cfg, nil
	}
	locate(file, data, problems)
	all := make([]error, 0, len(problems))
	for _, p := range problems {
		all = append(all, p)
	}
	return nil, errors.Join(all...)
}

func decode(file string, data []byte) (*Config, error) {
	if len(bytes.TrimSpace(data)) == 0 {
		return nil, &Problem{File: file, Message: "the configuration is empty"}
	}
	cfg := new(Config)
	err := yaml.UnmarshalWithOptions(data, cfg, yaml.Strict())
	if err == nil {
		return cfg, nil
	}
	var p *Problem
	if errors.As(err, &p) {
		p.File = file
		return nil, p
	}
	p = &Problem{File: file, Message: err.Error()}
	var located yaml.Error
	if errors.As(err, &located) {
		p.Message = located.GetMessage()
		if tok := located.GetToken(); tok != nil {
			p.Line = tok.Position.Line
		}
	}
	return nil, p
}

// locate sets the line of each problem from its YAML path.
func locate(file string, data []byte, problems []*Problem) {
	tree, err := parser.ParseBytes(data, 0)
	for _, p := range problems {
		p.File = file
		if err == nil {
			p.Line = lineOf(tree, p.Path)
		}
	}
}

// lineOf returns the line of a path or, if the field is absent, of its nearest existing parent.
func lineOf(tree *ast.File, path string) int {
	for path != "" {
		if yp, err := yaml.PathString("$." + path); err == nil {
			if node, err := yp.FilterFile(tree); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return 1
}
