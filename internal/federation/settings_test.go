package federation

import (
	"strings"
	"testing"
)

const validFile = `name = "a"
[[peers]]
name = "b"
key = "0123456789abcdef"
seeds = ["10.0.0.1:7720"]
[[lanes]]
here = "x"
peer = "b"
there = "y"
`

func TestFaultsNameTheField(t *testing.T) {
	if _, err := Parse("f", []byte(validFile)); err != nil {
		t.Fatal(err)
	}
	for edit, field := range map[[2]string]string{
		{`name = "a"`, ``}:                        "field name",
		{`key = "0123456789abcdef"`, `key = "x"`}: "field peers.key",
		{`"10.0.0.1:7720"`, `"here"`}:             "field peers.seeds",
		{`peer = "b"`, `peer = "c"`}:              "field lanes.peer",
		{`name = "a"`, `name = "a"
crowdedAt = 2.0`}: "field crowdedAt",
		{`name = "a"`, `name = "a"
crowdedat2 = 2.0`}: "field crowdedat2",
		{`name = "b"`, `name = "a"`}: "field peers.name",
	} {
		_, err := Parse("f", []byte(strings.Replace(validFile, edit[0], edit[1], 1)))
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%v: %v, want %s", edit, err, field)
		}
	}
}

func TestForgedCallsAreRefused(t *testing.T) {
	settings, err := Parse("f", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	call := Call{From: "b", To: "a", Kind: CallOffer, JobID: "j"}
	if got, refusal := settings.Verify(Sign("0123456789abcdef", call)); refusal != "" || got.JobID != "j" {
		t.Fatalf("a good call: %s", refusal)
	}
	for name, raw := range map[string][]byte{
		"forged":     Sign("another key, 16 c", call),
		"unknown":    Sign("0123456789abcdef", Call{From: "z", To: "a"}),
		"not meant":  Sign("0123456789abcdef", Call{From: "b", To: "q"}),
		"unreadable": []byte("x"),
	} {
		if _, refusal := settings.Verify(raw); !strings.Contains(refusal, name) {
			t.Errorf("%s: %q", name, refusal)
		}
	}
}
