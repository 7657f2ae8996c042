package trial

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// build builds the program into a temporary directory and returns its path.
func build(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tealpond")
	if out, err := exec.Command("go", "build", "-o", path, "tealpond/cmd/tealpond").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// TestTrial checks that a trial succeeds, prints the expected progress and removes its directory.
func TestTrial(t *testing.T) {
	directory, output := filepath.Join(t.TempDir(), "data"), &bytes.Buffer{}
	if err := os.Mkdir(directory, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Run(t.Context(), Options{Program: build(t), Directory: directory, Output: output}); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	for _, want := range []string{"is done", "bert was refused", "bert acquired the lock", "killed the leader", "carl still holds the lock", "the watch continued", "all checks passed"} {
		if !strings.Contains(output.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, output)
		}
	}
	if _, err := os.Stat(directory); !os.IsNotExist(err) {
		t.Errorf("the directory was not removed: %v", err)
	}
}

// TestTrialReportsExitedDaemon checks that a daemon which exits at once makes the trial fail with an
// error that names the exit status, and that the directory is removed.
func TestTrialReportsExitedDaemon(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "data")
	if err := os.Mkdir(directory, 0o700); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	err := Run(ctx, Options{Program: "/bin/false", Directory: directory, Output: &bytes.Buffer{}})
	if err == nil || !strings.Contains(err.Error(), "exited: exit status 1") {
		t.Errorf("error %v, want one with the exit status", err)
	}
	if _, err := os.Stat(directory); !os.IsNotExist(err) {
		t.Errorf("the directory was not removed: %v", err)
	}
}
