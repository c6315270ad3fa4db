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

// Problem is one fault in a configuration, at its place in the file.
type Problem struct {
	File    string
	Line    int
	Path    string
	Message string
	// Warning marks what is allowed but probably not meant.
	Warning bool
}

// Error renders the problem as file:line: path: message.
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

// Parse reads a configuration, fills in defaults and returns every fault it has as *Problem errors joined together.
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

// locate fills in the line of each problem from the YAML path it names.
func locate(file string, data []byte, problems []*Problem) {
	tree, err := parser.ParseBytes(data, 0)
	for _, p := range problems {
		p.File = file
		if err == nil {
			p.Line = lineOf(tree, p.Path)
		}
	}
}

// lineOf finds the line of a path or, where a field is absent, of what should hold it.
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
