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

// build builds the program into a directory of the test.
func build(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tealpond")
	if out, err := exec.Command("go", "build", "-o", path, "tealpond/cmd/tealpond").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// TestTrial runs a trial as a newcomer would: it ends well, says what a reader is to see, and
// leaves no file behind.
func TestTrial(t *testing.T) {
	directory, output := filepath.Join(t.TempDir(), "data"), &bytes.Buffer{}
	if err := os.Mkdir(directory, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Run(t.Context(), Options{Program: build(t), Directory: directory, Output: output}); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	for _, want := range []string{"is done", "bert is told", "bert holds it", "the leader, while job", "carl still holds the lock", "the watch goes on", "all was as it should be"} {
		if !strings.Contains(output.String(), want) {
			t.Errorf("%q is missing:\n%s", want, output)
		}
	}
	if _, err := os.Stat(directory); !os.IsNotExist(err) {
		t.Errorf("the directory is left behind: %v", err)
	}
}

// TestTrialThatFails: a program that ends at once is an error that says so, and nothing is
// left behind.
func TestTrialThatFails(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "data")
	if err := os.Mkdir(directory, 0o700); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	err := Run(ctx, Options{Program: "/bin/false", Directory: directory, Output: &bytes.Buffer{}})
	if err == nil || !strings.Contains(err.Error(), "ended: exit status 1") {
		t.Errorf("the error is %v", err)
	}
	if _, err := os.Stat(directory); !os.IsNotExist(err) {
		t.Errorf("the directory is left behind: %v", err)
	}
}
