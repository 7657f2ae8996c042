package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"tealpond/internal/daemon"
	"tealpond/internal/protocol"
)

// prepare starts the runners, applies the first configuration and waits until all daemons are ready.
func (r *run) prepare(ctx context.Context) error {
	for range r.options.Runners {
		if _, err := r.platform.StartRunner(service, "z0"); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !r.changeConfiguration(ctx) || !r.allReady(ctx) {
		if ctx.Err() != nil {
			return errNotReady
		}
		daemon.Pause(ctx, pollInterval)
	}
	return nil
}

// allReady reports whether the readiness endpoints of all daemons answer OK.
func (r *run) allReady(ctx context.Context) bool {
	for _, name := range r.cluster.Names() {
		node, err := r.cluster.Daemon(name)
		if err != nil {
			return false
		}
		if status, err := call(ctx, http.MethodGet, node.ReadinessAddress(), "/-/readiness", "", nil); err != nil || status != http.StatusOK {
			return false
		}
	}
	return true
}

// configuration is the template of a configuration. Its parameters are the version, a time-out of the
// routes, which differs between versions, and the service of the routes.
const configuration = `{"configVersion":%[1]d,"routeList":[` +
	`{"name":"r","hostName":"h","pathPrefix":"/read/","kind":"read_only","timeoutMs":%[2]d,"targetMs":500,%[3]s,"maxTries":2},` +
	`{"name":"w","hostName":"h","pathPrefix":"/write/","kind":"writing","timeoutMs":%[2]d,"targetMs":500,%[3]s,"maxTries":2},` +
	`{"name":"u","hostName":"h","pathPrefix":"/upload/","kind":"upload","timeoutMs":%[2]d,"targetMs":500,%[3]s,"maxTries":2},` +
	`{"name":"d","hostName":"h","pathPrefix":"/download/","kind":"download","timeoutMs":%[2]d,"targetMs":500,%[3]s,"maxTries":2},` +
	`{"name":"j","hostName":"h","pathPrefix":"/p/","kind":"writing","timeoutMs":%[2]d,"targetMs":500,%[3]s,"maxTries":2}],` +
	`"serviceList":[{"name":"svc"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000}}`

// routeServices are the fields by which the routes of successive versions name their service.
var routeServices = []string{`"targetService":"` + service + `"`, `"trafficSplit":[{"targetService":"` + service + `","share":3},{"targetService":"` + service + `","share":1}]`}

// routeTimeoutMs is the time-out of the routes in the first version, in ms. It is longer than that of
// any client.
const routeTimeoutMs = 20_000

// changeConfiguration sends the next version of the configuration to the daemons until one accepts it,
// and reports whether one did.
func (r *run) changeConfiguration(ctx context.Context) bool {
	base := r.version.Load()
	text := fmt.Sprintf(configuration, base+1, routeTimeoutMs+base, routeServices[base%int64(len(routeServices))])
	for _, name := range r.cluster.Names() {
		node, err := r.cluster.Daemon(name)
		if err != nil {
			return false
		}
		status, err := call(ctx, http.MethodPost, node.ControlAddress(), "/-/Config.Replace", text, http.Header{protocol.HeaderBasedOn: {strconv.FormatInt(base, 10)}})
		if err == nil && status == http.StatusOK {
			r.version.Store(base + 1)
			return true
		}
	}
	return false
}

// call makes an operator's HTTP request and returns the status of the answer.
func call(ctx context.Context, method, address, path, body string, header http.Header) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	request.Host = header.Get("Host")
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body) // only the status is used
	return response.StatusCode, response.Body.Close()
}

// maxCheckedJobs limits how many of the accepted jobs are queried at the end of a run. From twice as
// many accepted jobs on, only every n-th is queried, so that fewer than twice as many are queried.
const maxCheckedJobs = 300

// lostJobs queries accepted jobs after all daemons were restarted, and returns a violation for each
// query that is not answered with 200.
func (r *run) lostJobs(ctx context.Context, record Record) []Violation {
	var accepted []Request
	for _, request := range record.Requests {
		if request.Kind == kindJob && request.Outcome == OutcomeAnswered && request.Status < http.StatusMultipleChoices {
			accepted = append(accepted, request)
		}
	}
	step := max(len(accepted)/maxCheckedJobs, 1)
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var lost []Violation
	for i := 0; i < len(accepted); i += step {
		if status := r.jobStatus(ctx, accepted[i].ID); status != http.StatusOK {
			lost = append(lost, Violation{"LOST", fmt.Sprintf("accepted job: query at the end answered with %d", status), accepted[i]})
		}
	}
	return lost
}

// jobStatus queries the daemons for a job until one gives an answer other than 503 or 504, and returns
// its status, or 0 if ctx ends before.
func (r *run) jobStatus(ctx context.Context, id string) int {
	for ctx.Err() == nil {
		for _, target := range r.targets() {
			status, err := call(ctx, http.MethodGet, target.address, jobPath+id, "", http.Header{"Host": {routeHost}})
			if err == nil && status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
				return status
			}
		}
		daemon.Pause(ctx, pollInterval)
	}
	return 0
}
