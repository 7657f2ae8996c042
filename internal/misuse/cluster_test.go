package misuse

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"tealpond/internal/localcluster"
	"tealpond/internal/protocol"
	"tealpond/internal/settings"
	"tealpond/internal/standin"

	// The tests run the built program. The imports make cached results depend on its packages.
	_ "tealpond/internal/agent"
	_ "tealpond/internal/api"
)

// Roles of the daemons.
const (
	edgeRole    = "edge"
	gatewayRole = "gateway"
)

// Limits in the settings of the daemon under test, and the bounds that follow from them.
const (
	// memoryMB is the memory limit of a daemon: the peak of its resident memory must stay below it.
	memoryMB = 96
	// manyDescriptors is the descriptor limit of the operators' machines, fewDescriptors a lower one.
	// reservedDescriptors is the part of it that operators keep for files.
	manyDescriptors     = 4100
	fewDescriptors      = 600
	reservedDescriptors = 200
	// maxBodyBytes is the limit of a client's body in the configuration.
	maxBodyBytes = 262144
)

const (
	readyTimeout   = 30 * time.Second
	requestTimeout = 10 * time.Second
	// raisedUploadTimeout is that of the one upload of raisedUploadBytes, which loopback carries slowly.
	raisedUploadTimeout = time.Minute
	pollInterval        = 50 * time.Millisecond
)

// Names and ports of the stand-ins.
const (
	routeHost    = "h"
	serviceName  = "svc"
	jobPath      = "/p/"
	uploadPath   = "/upload/"
	readPath     = "/read/"
	platformHost = 250
	runnerHost   = 150
	standinPort  = 18100
	runners      = 4
)

// baseConfiguration is the configuration of version 1. Its parameter is the end of a route's name, which
// makes the configuration as large as a test needs.
const baseConfiguration = `{"configVersion":1,"routeList":[` +
	`{"name":"u%s","hostName":"h","pathPrefix":"/upload/","kind":"upload","timeoutMs":60000,"targetMs":500,"targetService":"svc","maxTries":2},` +
	`{"name":"r","hostName":"h","pathPrefix":"/read/","kind":"read_only","timeoutMs":60000,"targetMs":500,"targetService":"svc","maxTries":2},` +
	`{"name":"j","hostName":"h","pathPrefix":"/p/","kind":"writing","timeoutMs":60000,"targetMs":500,"targetService":"svc","maxTries":2}],` +
	`"serviceList":[{"name":"svc"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144}}`

// deployment is a daemon with its stand-ins and its configuration in force.
type deployment struct {
	t             *testing.T
	node          *localcluster.Daemon
	cluster       *localcluster.Cluster
	configuration string
	descriptors   int // limit
	requests      int // ordinary requests made so far
}

// start starts a daemon of a role with a limit of descriptors. The configuration has at least
// configurationBytes.
func start(t *testing.T, role string, host byte, descriptors, configurationBytes int) *deployment {
	t.Helper()
	directory, err := os.MkdirTemp("", "misuse")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(directory) })
	subnet := localcluster.Subnet{A: 79, B: host}
	platform, err := standin.NewPlatform(standin.Options{
		Address:       net.JoinHostPort(subnet.Host(platformHost), strconv.Itoa(standinPort)),
		RunnerAddress: func(n int) string { return net.JoinHostPort(subnet.Host(runnerHost+n), strconv.Itoa(standinPort)) },
		Listen:        func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	for range runners {
		if _, err := platform.StartRunner(serviceName, "z0"); err != nil {
			t.Fatal(err)
		}
	}
	cluster, err := localcluster.Start(localcluster.Options{
		Program: buildProgram(t), Directory: directory, Subnet: subnet, Role: role, Servers: 1, Zones: 1,
		MaxFiles: uint64(descriptors), Settings: settingsOf(role, descriptors, platform.Address()),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	node, err := cluster.Daemon(cluster.Names()[0])
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{t: t, node: node, cluster: cluster, descriptors: descriptors}
	d.configuration = fmt.Sprintf(baseConfiguration, strings.Repeat("x", configurationBytes))
	d.await("the first configuration", d.configure)
	d.await("readiness", d.isReady)
	return d
}

// settingsOf returns the settings of a daemon.
func settingsOf(role string, descriptors int, platformAddress string) settings.File {
	file := settings.File{
		Contracts: []string{"base", "config", "drain"},
		Limits:    settings.Limits{MemoryMB: memoryMB, MaxFileDescriptors: descriptors},
		Bounds:    settings.Bounds{GraceS: 6, InTouchMs: 5000, DrainMs: 3000, ConfigApplyMs: 3000, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 192},
	}
	if role == gatewayRole {
		file.Deployment, file.Discovery = settings.DeploymentAPI, settings.DiscoveryPlatform
		file.Platform = settings.Platform{Address: platformAddress, RatePerS: 50}
		return file
	}
	file.Contracts = append(file.Contracts, settings.ContractJobs)
	file.Bounds.MaxLeaseMs, file.Bounds.StatusS, file.Bounds.HistoryS, file.Bounds.FreeAfterMs = 6000, 120, 20, 1500
	return file
}

// programPath is the built program, shared by all tests.
var programPath string

// TestMain removes the program that the tests have built.
func TestMain(m *testing.M) {
	code := m.Run()
	if programPath != "" {
		_ = os.RemoveAll(filepath.Dir(programPath))
	}
	os.Exit(code)
}

// buildProgram builds the program once and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	if programPath != "" {
		return programPath
	}
	directory, err := os.MkdirTemp("", "misuse-program")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(directory, "tealpond")
	build := exec.Command("go", "build", "-trimpath", "-buildvcs=false", "-ldflags=-linkmode=external -s -w", "-o", path, "./cmd/tealpond")
	build.Dir = "../.."
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	programPath = path
	return path
}

// await polls a condition until it holds or readyTimeout has passed.
func (d *deployment) await(what string, condition func() bool) {
	d.t.Helper()
	for until := time.Now().Add(readyTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(until) {
			d.t.Fatalf("%s: not within %v\n%s", what, readyTimeout, d.lastLines())
		}
	}
}

// lastLines returns the end of the daemon's log.
func (d *deployment) lastLines() string {
	const count = 10
	var text strings.Builder
	lines := d.cluster.Log()
	for _, line := range lines[max(len(lines)-count, 0):] {
		text.WriteString(line.Text + "\n")
	}
	return text.String()
}

// call makes one request on a connection of its own and returns the status and the body of the answer;
// status 0 means that there was none.
func call(method, address, path, body string, header http.Header) (status int, answer string) {
	return callWithin(requestTimeout, method, address, path, body, header)
}

// callWithin is call with a time-out of its own.
func callWithin(timeout time.Duration, method, address, path, body string, header http.Header) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host, request.Header, request.Close = routeHost, header, true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// configure sends the configuration and reports whether it was accepted.
func (d *deployment) configure() bool {
	status, _ := call(http.MethodPost, d.node.ControlAddress(), "/-/Config.Replace", d.configuration, http.Header{protocol.HeaderBasedOn: {"0"}})
	return status == http.StatusOK
}

// raiseBodyLimit puts a configuration of version 2 into force that allows larger bodies, and reports
// whether it was accepted.
func (d *deployment) raiseBodyLimit(bytes int) bool {
	text := strings.Replace(d.configuration, `"configVersion":1`, `"configVersion":2`, 1)
	text = strings.Replace(text, fmt.Sprintf(`"maxBodyBytes":%d`, maxBodyBytes), fmt.Sprintf(`"maxBodyBytes":%d`, bytes), 1)
	status, _ := call(http.MethodPost, d.node.ControlAddress(), "/-/Config.Replace", text, http.Header{protocol.HeaderBasedOn: {"1"}})
	if status != http.StatusOK {
		return false
	}
	d.configuration = text
	return true
}

// isReady reports whether the readiness endpoint answers 200.
func (d *deployment) isReady() bool {
	status, _ := call(http.MethodGet, d.node.ReadinessAddress(), "/-/readiness", "", http.Header{})
	return status == http.StatusOK
}

// readsConfiguration reports whether an operator reads back the configuration in force.
func (d *deployment) readsConfiguration() bool {
	status, text := call(http.MethodGet, d.node.ControlAddress(), "/-/Config.Read", "", http.Header{})
	return status == http.StatusOK && text == d.configuration
}

// serves reports whether an ordinary client's request is answered with the right content.
func (d *deployment) serves() bool {
	d.requests++
	if d.node.Role == gatewayRole {
		return d.servesUpload(requestTimeout, fmt.Sprintf("ordinary-%d", d.requests), 10_000)
	}
	path := fmt.Sprintf("%s%016x", jobPath, 0xabc000+d.requests)
	if status, _ := call(http.MethodPost, d.node.ClientAddress(), path, jobOf(1, 0), http.Header{}); status != http.StatusOK {
		return false
	}
	status, text := call(http.MethodGet, d.node.ClientAddress(), path, "", http.Header{})
	return status == http.StatusOK && strings.TrimSpace(text) == `{"state":"pending"}`
}

// servesUpload reports whether an upload of the given size is answered by a runner that received all of
// it.
func (d *deployment) servesUpload(timeout time.Duration, attempt string, bytes int) bool {
	status, text := callWithin(timeout, http.MethodPost, d.node.ClientAddress(), uploadPath+"x?work=1", strings.Repeat("b", bytes), http.Header{protocol.HeaderAttemptID: {attempt}})
	return status == http.StatusOK && strings.TrimSpace(text) == standin.ExpectedAnswer(attempt, uploadPath+"x", bytes)
}

// jobOf returns a valid job with the given number of steps, padded to at least the given size.
func jobOf(steps, bytes int) string {
	list := strings.Repeat(`{"taskCount":1},`, steps)
	job := `{"jobSpec":"misuse","steps":[` + strings.TrimSuffix(list, ",") + `]}`
	return job + strings.Repeat(" ", max(bytes-len(job), 0))
}

// processStatus returns a field of /proc/PID/status, in its unit there.
func (d *deployment) processStatus(field string) int {
	d.t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.node.ProcessID()))
	if err != nil {
		d.t.Fatalf("the process has ended: %v %v\n%s", err, d.node.Exits(), d.lastLines())
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if value, ok := strings.CutPrefix(line, field+":"); ok {
			number, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				d.t.Fatal(err)
			}
			return number
		}
	}
	d.t.Fatalf("no field %s in the status of the process", field)
	return 0
}

// openDescriptors returns the number of open descriptors of the process.
func (d *deployment) openDescriptors() int {
	d.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.node.ProcessID()))
	if err != nil {
		d.t.Fatalf("the process has ended: %v %v", err, d.node.Exits())
	}
	return len(entries)
}

// checkLimits checks that the process has not ended and has stayed within its limits.
func (d *deployment) checkLimits() {
	d.t.Helper()
	const kbPerMB = 1024
	if exits := d.node.Exits(); len(exits) > 0 {
		d.t.Fatalf("the process has ended: %v\n%s", exits, d.lastLines())
	}
	peak, open := d.processStatus("VmHWM"), d.openDescriptors()
	d.t.Logf("peak of resident memory %d kB, %d open descriptors", peak, open)
	if peak > memoryMB*kbPerMB {
		d.t.Errorf("peak of resident memory %d kB, limit %d kB", peak, memoryMB*kbPerMB)
	}
	if limit := d.descriptors - reservedDescriptors; open > limit {
		d.t.Errorf("%d open descriptors, limit %d", open, limit)
	}
}

// settle waits until the process has taken in what the crowd has sent: until the peak of its memory and
// the number of its descriptors stay unchanged for settledPolls polls, or readyTimeout has passed.
func (d *deployment) settle() {
	d.t.Helper()
	const settledPolls = 10
	peak, open, unchanged := 0, 0, 0
	for until := time.Now().Add(readyTimeout); unchanged < settledPolls && time.Now().Before(until); time.Sleep(pollInterval) {
		nowPeak, nowOpen := d.processStatus("VmHWM"), d.openDescriptors()
		if unchanged++; nowPeak != peak || nowOpen != open {
			peak, open, unchanged = nowPeak, nowOpen, 0
		}
	}
}

// checkAfter checks the limits, and that an ordinary request, an operator's and the readiness check are
// answered while the crowd is still connected.
func (d *deployment) checkAfter() {
	d.t.Helper()
	d.settle()
	d.checkLimits()
	d.await("an ordinary request", d.serves)
	d.await("an operator's read of the configuration", d.readsConfiguration)
	d.await("readiness", d.isReady)
	d.checkLimits()
}
