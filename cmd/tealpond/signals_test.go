package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The tests in this file guard against a SIGHUP that kills a daemon. During a rolling restart
// with changing settings, gateways lost responses: the process exited with "signal: hangup"
// about 0.2 s after SIGTERM and did not log daemon.stopped. The SIGHUP handler stopped at the
// first SIGTERM, which restored the signal's default effect, killing the process, while open
// requests were still being answered. The same applied between the start of the process and
// the start of the handler.

// runProgramEnvVar is the environment variable that makes the test binary run the program.
const runProgramEnvVar = "TEALPOND_RUN_PROGRAM"

// TestMain runs the program instead of the tests in processes started by startDaemon.
func TestMain(m *testing.M) {
	if os.Getenv(runProgramEnvVar) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// testDaemon is a daemon that runs in a separate process.
type testDaemon struct {
	t       *testing.T
	command *exec.Cmd
	lines   chan string // log lines; closed at the end of the log
}

// startDaemon starts a gateway with the given settings file.
func startDaemon(t *testing.T, settingsPath string) *testDaemon {
	t.Helper()
	command := exec.Command(os.Args[0], "gateway", "--settings", settingsPath)
	command.Env = append(os.Environ(), runProgramEnvVar+"=1")
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = command.Process.Kill() })
	d := &testDaemon{t, command, make(chan string, 1000)}
	go func() {
		defer close(d.lines)
		for scanner := bufio.NewScanner(log); scanner.Scan(); {
			d.lines <- scanner.Text()
		}
	}()
	return d
}

// signal sends a signal to the daemon.
func (d *testDaemon) signal(signal syscall.Signal) {
	d.t.Helper()
	if err := d.command.Process.Signal(signal); err != nil {
		d.t.Errorf("%v: %v", signal, err)
	}
}

// awaitEvent reads the log up to an event. It returns false if the process exits first.
func (d *testDaemon) awaitEvent(event string) bool {
	for line := range d.lines {
		d.t.Log(line)
		if strings.Contains(line, "event="+event+" ") || strings.HasSuffix(line, "event="+event) {
			return true
		}
	}
	return false
}

// expectCleanExit waits for the process to exit, which it must do without an error and after
// logging daemon.stopped.
func (d *testDaemon) expectCleanExit() {
	d.t.Helper()
	if !d.awaitEvent("daemon.stopped") {
		d.t.Error("the process did not log daemon.stopped")
	}
	if err := d.command.Wait(); err != nil {
		d.t.Errorf("the process exited with %v", err)
	}
}

// gatewaySettings returns the settings of a gateway that has no disk and finds no leader.
func gatewaySettings(t *testing.T, ip string) (text, clientAddress string) {
	t.Helper()
	var ports []int
	for range 4 {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	address := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	return fmt.Sprintf(`nodeName = "n"
role = "gateway"
serves = ["edge", "control"]
ipAddress = %q
zone = "z"
innerPortRange = [%d, %[2]d]
seedNodes = [%[3]q]
deployment = "api"
discovery = "local"
contracts = ["base", "config"]
[listenAddrs]
frontHttp = %[4]q
readiness = %[5]q
controlAddr = %[3]q
[limits]
memoryMb = 184
[bounds]
graceS = 6
`, ip, ports[0], address(1), address(2), address(3)), address(2)
}

// TestSignalsShutDownGracefully checks that at any time SIGHUP does not stop a daemon and
// SIGTERM shuts it down gracefully.
func TestSignalsShutDownGracefully(t *testing.T) {
	t.Run("SIGHUP during shutdown", testHangupDuringShutdown)
	t.Run("while settings are loaded", testSignalsWhileSettingsAreLoaded)
}

// testHangupDuringShutdown checks that an open request is answered despite SIGHUP.
func testHangupDuringShutdown(t *testing.T) {
	text, clientAddress := gatewaySettings(t, "127.0.0.1")
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	d := startDaemon(t, path)
	if !d.awaitEvent("daemon.started") {
		t.Fatal("the daemon did not log daemon.started")
	}
	// A request waits while there is no configuration, and is rejected after some time.
	// Once the first request is answered, the daemon has received the second.
	conn := dialDaemon(t, clientAddress)
	request := "GET /x HTTP/1.1\r\nHost: h\r\nX-Tealpond-Time-Left: 200\r\n\r\n"
	if _, err := io.WriteString(conn, request+request); err != nil {
		t.Fatal(err)
	}
	responses := bufio.NewReader(conn)
	expectUnavailable(t, responses)
	d.signal(syscall.SIGTERM)
	if !d.awaitEvent("shutdown.begun") {
		t.Error("the daemon did not log shutdown.begun")
	}
	for range 5 {
		d.signal(syscall.SIGHUP)
	}
	expectUnavailable(t, responses)
	d.expectCleanExit()
}

// dialDaemon connects to an address as soon as it accepts connections.
func dialDaemon(t *testing.T, address string) net.Conn {
	t.Helper()
	for {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			return conn
		}
		if !errors.Is(err, syscall.ECONNREFUSED) || t.Context().Err() != nil {
			t.Fatal(err)
		}
	}
}

// expectUnavailable reads a response, which must have status 503 because there is no
// configuration yet.
func expectUnavailable(t *testing.T, responses *bufio.Reader) {
	t.Helper()
	response, err := http.ReadResponse(responses, nil)
	if err != nil {
		t.Errorf("no response: %v", err)
		return
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503; body: %v", response.StatusCode, err)
	}
}

// testSignalsWhileSettingsAreLoaded sends the signals when the daemon has opened its settings
// file and nothing else.
func testSignalsWhileSettingsAreLoaded(t *testing.T) {
	text, _ := gatewaySettings(t, "127.0.0.1")
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	d := startDaemon(t, path)
	// Opening the pipe blocks until the daemon opens it for reading.
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	d.signal(syscall.SIGHUP)
	d.signal(syscall.SIGTERM)
	if _, err := pipe.WriteString(text); err != nil {
		t.Error(err)
	}
	if err := pipe.Close(); err != nil {
		t.Error(err)
	}
	d.expectCleanExit()
}
