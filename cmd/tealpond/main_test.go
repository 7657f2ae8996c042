package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestCommandLineExitCodes checks the exit code and the output of successful, invalid and
// failing command lines.
func TestCommandLineExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("nodeName = \"\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"version"}, exitOK, "tealpond"},
		{[]string{"help"}, exitOK, "edge"},
		{[]string{"nonsense"}, exitUsage, "expected command"},
		{[]string{"check", bad}, exitFault, "field nodeName"},
		{[]string{"check", "/nowhere"}, exitFault, "no such file"},
		{[]string{"edge", "--settings", bad}, exitFault, "field nodeName"},
		{[]string{"trace", "x"}, exitUsage, "--at"},
		{[]string{"locks", "--at", "127.0.0.1:1"}, exitUnreachable, "no daemon reachable"},
		{[]string{"numbers"}, exitUsage, "--at"},
		{[]string{"keys", "list", "--json", "--at", "127.0.0.1:1"}, exitUnreachable, "no daemon reachable"},
		{[]string{"keys", "get", "g.a", "--control", "127.0.0.1:1"}, exitUnreachable, "no daemon reachable"},
		{[]string{"keys", "watch", "g.", "--control", "127.0.0.1:1"}, exitUnreachable, "no daemon reachable"},
		{[]string{"query", "--at", "127.0.0.1:1", "SELECT 1"}, exitUnreachable, "no daemon reachable"},
		{[]string{"trace", "--at", "127.0.0.1:1", "x"}, exitUnreachable, "no daemon reachable"},
		{[]string{"record", "--cluster", "a=127.0.0.1:1"}, exitUnreachable, "a: fleet: no daemon reachable"},
	} {
		var stdout, stderr bytes.Buffer
		if code := run(test.args, &stdout, &stderr); code != test.code || !strings.Contains(stdout.String()+stderr.String(), test.want) {
			t.Errorf("%v: %d, %q %q", test.args, code, stdout.String(), stderr.String())
		}
	}
}
