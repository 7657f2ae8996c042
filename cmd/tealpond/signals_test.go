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

// The incident: a rolling restart with settings that change, played on the operators'
// bench and by real processes, lost answers of gateways. The daemon's log stopped without
// daemon.stopped, and its process had ended with "signal: hangup", some 0.2 s after a
// SIGTERM: the watcher of SIGHUP ended with the first SIGTERM, and the signal's default, the
// end of the process, was in force again while open requests were being answered. The same
// held from the start of the process until the watcher had begun.

// daemonEnvironment is the variable of a test process that runs the program itself.
const daemonEnvironment = "TEALPOND_RUN_PROGRAM"

// TestMain runs the program in place of the tests where a test started it so.
func TestMain(m *testing.M) {
	if os.Getenv(daemonEnvironment) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// testDaemon is a daemon in a process of its own.
type testDaemon struct {
	t       *testing.T
	command *exec.Cmd
	lines   chan string // of its log; closed at its end
}

// startDaemon starts a gateway with a settings file.
func startDaemon(t *testing.T, settingsPath string) *testDaemon {
	t.Helper()
	command := exec.Command(os.Args[0], "gateway", "--settings", settingsPath)
	command.Env = append(os.Environ(), daemonEnvironment+"=1")
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

// signal sends a signal.
func (d *testDaemon) signal(signal syscall.Signal) {
	d.t.Helper()
	if err := d.command.Process.Signal(signal); err != nil {
		d.t.Errorf("%v: %v", signal, err)
	}
}

// await reads the log up to an event; false if the process ends before.
func (d *testDaemon) await(event string) bool {
	for line := range d.lines {
		d.t.Log(line)
		if strings.Contains(line, "event="+event+" ") || strings.HasSuffix(line, "event="+event) {
			return true
		}
	}
	return false
}

// wantOrderlyEnd waits for the end of the process, which must be in order.
func (d *testDaemon) wantOrderlyEnd() {
	d.t.Helper()
	if !d.await("daemon.stopped") {
		d.t.Error("the process does not say that it has ended in order")
	}
	if err := d.command.Wait(); err != nil {
		d.t.Errorf("the process ended with %v", err)
	}
}

// gatewaySettings are the settings of a gateway without a disk that finds no leader.
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

// TestSignalsEndDaemonsInOrder: whenever signals come, a SIGHUP ends no daemon, and a
// SIGTERM ends it in order.
func TestSignalsEndDaemonsInOrder(t *testing.T) {
	t.Run("SIGHUP while it leaves", testHangupWhileLeaving)
	t.Run("while settings are read", testSignalsWhileSettingsAreRead)
}

// testHangupWhileLeaving: the open request is answered all the same.
func testHangupWhileLeaving(t *testing.T) {
	text, clientAddress := gatewaySettings(t, "127.0.0.1")
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	d := startDaemon(t, path)
	if !d.await("daemon.started") {
		t.Fatal("the daemon has not started")
	}
	// Without a configuration a request waits for one, and is refused after a while. Once
	// the first one is answered, the daemon has the second one for certain.
	conn := dialDaemon(t, clientAddress)
	request := "GET /x HTTP/1.1\r\nHost: h\r\nX-Tealpond-Time-Left: 200\r\n\r\n"
	if _, err := io.WriteString(conn, request+request); err != nil {
		t.Fatal(err)
	}
	answers := bufio.NewReader(conn)
	wantRefusal(t, answers)
	d.signal(syscall.SIGTERM)
	if !d.await("shutdown.begun") {
		t.Error("the daemon does not begin to leave")
	}
	for range 5 {
		d.signal(syscall.SIGHUP)
	}
	wantRefusal(t, answers)
	d.wantOrderlyEnd()
}

// dialDaemon connects to a port as soon as it accepts connections.
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

// wantRefusal reads an answer, which must say that there is no configuration yet.
func wantRefusal(t *testing.T, answers *bufio.Reader) {
	t.Helper()
	response, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Errorf("no answer: %v", err)
		return
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("answered with %d, %v", response.StatusCode, err)
	}
}

// testSignalsWhileSettingsAreRead: the daemon has opened its first file, and no more.
func testSignalsWhileSettingsAreRead(t *testing.T) {
	text, _ := gatewaySettings(t, "127.0.0.1")
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	d := startDaemon(t, path)
	// The pipe opens once the daemon opens it to read.
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
	d.wantOrderlyEnd()
}
