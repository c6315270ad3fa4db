// Package programs builds pathhead's programs for tests that run real processes.
package programs

import (
	"os"
	"os/exec"
	"testing"

	"github.com/zeebo/errs/v2"
)

// envDir is the environment variable that names a folder of programs already built.
const envDir = "PATHHEAD_BIN"

// Main runs a package's tests with dir set to a folder that contains the programs of the
// given packages. Unless the environment names such a folder, it builds them into a
// temporary one. It returns the exit code.
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
		return 1, errs.Errorf("building %v failed: %w", packages, err)
	}
	return m.Run(), nil
}
