// Package programs builds pathhead's programs for tests that run real processes.
package programs

import (
	"debug/buildinfo"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"runtime/debug"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
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

// WithoutRace returns a folder with the program of a package, built without the race detector, which
// multiplies the memory of a program. That is dir if its program was built so, else a temporary
// folder into which the program is built.
func WithoutRace(t *testing.T, dir, pkg string) string {
	t.Helper()
	info, err := buildinfo.ReadFile(filepath.Join(dir, path.Base(pkg)))
	require.NoError(t, err)
	if !slices.ContainsFunc(info.Settings, func(s debug.BuildSetting) bool { return s.Key == "-race" }) {
		return dir
	}
	tempDir := t.TempDir()
	out, err := exec.Command("go", "build", "-race=false", "-o", tempDir, pkg).CombinedOutput()
	require.NoError(t, err, "building %s failed: %s", pkg, out)
	return tempDir
}
