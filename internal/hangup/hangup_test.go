package hangup

import (
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// childEnvVar makes the test binary send itself a SIGHUP, after Restore if it is set to "restored".
const childEnvVar = "TEALPOND_HANGUP_CHILD"

// childPause is how long the process waits for a signal that it has sent to itself.
const childPause = 10 * time.Second

var ignoredAtStart = signal.Ignored(syscall.SIGHUP)

func TestMain(m *testing.M) {
	mode := os.Getenv(childEnvVar)
	if mode == "" {
		os.Exit(m.Run())
	}
	if mode == "restored" {
		Restore()
	}
	if syscall.Kill(os.Getpid(), syscall.SIGHUP) != nil {
		os.Exit(2)
	}
	if mode == "restored" {
		time.Sleep(childPause) // unless the signal ends the process
	}
}

// TestHangupIsIgnoredFromTheStart guards against a daemon that a SIGHUP ends while the runtime and the
// packages of other modules are initialized: the runtime must have found the signal ignored.
func TestHangupIsIgnoredFromTheStart(t *testing.T) {
	if !ignoredAtStart {
		t.Error("the runtime did not find SIGHUP ignored when it started")
	}
	if err := runChild("ignored"); err != nil {
		t.Errorf("a process that got SIGHUP ended with %v", err)
	}
}

// TestRestoreGivesHangupItsDefaultEffect checks that a SIGHUP ends a tool as it would end any process.
func TestRestoreGivesHangupItsDefaultEffect(t *testing.T) {
	if err := runChild("restored"); err == nil || err.Error() != "signal: hangup" {
		t.Errorf("a process that got SIGHUP after Restore ended with %v, want signal: hangup", err)
	}
}

// runChild runs the test binary with SIGHUP at its default effect, as a process inherits it from a
// parent that captures the signal.
func runChild(mode string) error {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childEnvVar+"="+mode)
	return command.Run()
}
