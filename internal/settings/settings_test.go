package settings

import (
	"strings"
	"testing"
)

const validFile = `nodeName = "e1"
role = "x"
serves = ["edge","control"]
ipAddress = "10.1.0.10"
innerPortRange = [7720,7735]
seedNodes = ["10.1.0.10:8166"]
orders = "duty_call"
someNewField = 3
[listenAddrs]
frontHttp = "10.1.0.10:8161"
readiness = "10.1.0.10:8167"
controlAddr = "10.1.0.10:8166"
[limits]
memoryMb = 284
[bounds]
maxHoldMs = 6000
`

func TestFaultsNameFileAndField(t *testing.T) {
	if file, err := Parse("f.toml", []byte(validFile)); err != nil || file.SeedAddresses()[0] != "10.1.0.10:7720" {
		t.Fatalf("%v %v", file.SeedAddresses(), err)
	}
	for edit, want := range map[[2]string]string{
		{`nodeName = "e1"`, ``}:                         "field nodeName",
		{`"10.1.0.10"`, `"here"`}:                       "field ipAddress",
		{`[7720,7735]`, `[7720]`}:                       "field innerPortRange",
		{`seedNodes = ["10.1.0.10:8166"]`, ``}:          "field seedNodes",
		{`"duty_call"`, `"heartbeat"`}:                  "field orders",
		{`frontHttp = "10.1.0.10:8161"`, ``}:            "field listenAddrs.frontHttp",
		{`maxHoldMs = 6000`, ``}:                        "field bounds.maxHoldMs",
		{`memoryMb = 284`, `memoryMb = "much"`}:         "memoryMb",
		{`["edge","control"]`, `["side"]`}:              "field app",
		{`controlAddr = "10.1.0.10:8166"`, ``}:          "field listenAddrs.controlAddr",
		{`readiness = "10.1.0.10:8167"`, `readiness=1`}: "readiness",
	} {
		_, err := Parse("f.toml", []byte(strings.Replace(validFile, edit[0], edit[1], 1)))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "f.toml") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %v, want %s", edit, err, want)
		}
	}
}
