// Package programs builds pathhead's programs for tests on real processes.
package programs

import (
	"os"
	"os/exec"
	"testing"

	"github.com/zeebo/errs/v2"
)

// envDir names a folder in which the test command has built the programs already.
const envDir = "PATHHEAD_BIN"

// Main runs a package's tests with dir set to a folder that has the programs of
// the packages named, which it builds if the test command did not. It returns
// the code to exit with.
func Main(m *testing.M, dir *string, packages ...string) (int, error) {
	if *dir = os.Getenv(envDir); *dir != "" {
		return m.Run(), nil
	}
	tempDir, err := os.MkdirTemp("", "pathhead")
	if err != nil {
		return 1, errs.Wrap(err)
	}
	defer os.RemoveAll(tempDir)
	*dir = tempDir
	build := exec.Command("go", append([]string{"build", "-o", tempDir}, packages...)...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1, errs.Errorf("building %v: %w", packages, err)
	}
	return m.Run(), nil
}
