package e2e

import (
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestProofs checks that every test that docs/PROOFS.md names exists.
func TestProofs(t *testing.T) {
	doc, err := os.ReadFile("../../docs/PROOFS.md")
	require.NoError(t, err)
	out, err := exec.Command("grep", "-rhoE", `^func Test[A-Za-z0-9]+`, "../..", "--include=*_test.go").Output()
	require.NoError(t, err)
	exists := make(map[string]bool)
	for _, line := range strings.Split(string(out), "\n") {
		exists[strings.TrimPrefix(line, "func ")] = true
	}
	names := regexp.MustCompile(`Test[A-Z][A-Za-z0-9]+`).FindAllString(string(doc), -1)
	require.NotEmpty(t, names)
	for _, name := range names {
		require.True(t, exists[name], "docs/PROOFS.md names %s, which does not exist", name)
	}
}
