package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCommandLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("nodeName = \"\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
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
		{[]string{"query", "--at", "127.0.0.1:1", "SELECT 1"}, exitUnreachable, "no daemon reachable"},
		{[]string{"trace", "--at", "127.0.0.1:1", "x"}, exitUnreachable, "no daemon reachable"},
		{[]string{"record", "--cluster", "a=127.0.0.1:1"}, exitUnreachable, "a: fleet: no daemon reachable"},
	} {
		var out, errs bytes.Buffer
		if code := run(c.args, &out, &errs); code != c.code || !strings.Contains(out.String()+errs.String(), c.want) {
			t.Errorf("%v: %d, %q %q", c.args, code, out.String(), errs.String())
		}
	}
}
