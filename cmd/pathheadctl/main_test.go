package main

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pathhead/pathhead/internal/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"pathheadctl": main})
}

// TestScripts runs the command against a stand-in table and a stand-in object store.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			for name, h := range map[string]http.Handler{
				"PATHHEAD_TABLE":   standin.NewTable(1).Handler(),
				"PATHHEAD_OBJECTS": standin.NewObjects(1).Handler(),
			} {
				server := httptest.NewServer(h)
				env.Defer(server.Close)
				env.Setenv(name, server.URL)
			}
			env.Setenv("USER", "ada")
			return nil
		},
	})
}
