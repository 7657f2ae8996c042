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

// makeReady starts the runners and puts the first configuration in force.
func (r *run) makeReady(ctx context.Context) error {
	for range r.options.Runners {
		if _, err := r.platform.StartRunner(service, "z0"); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for !r.changeConfiguration(ctx) || !r.allReady(ctx) {
		if ctx.Err() != nil {
			return errNotReady
		}
		daemon.Pause(ctx, pollPause)
	}
	return nil
}

// allReady reports whether each daemon says that it is ready.
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

// configuration is a configuration of the routes, given its version and a time limit that
// differs between versions.
const configuration = `{"configVersion":%d,"routeList":[` +
	`{"name":"r","hostName":"h","pathPrefix":"/read/","kind":"read_only","timeoutMs":%[2]d,"targetMs":500,"targetService":"svc","maxTries":2},` +
	`{"name":"w","hostName":"h","pathPrefix":"/write/","kind":"writing","timeoutMs":%[2]d,"targetMs":500,"targetService":"svc","maxTries":2},` +
	`{"name":"u","hostName":"h","pathPrefix":"/upload/","kind":"upload","timeoutMs":%[2]d,"targetMs":500,"targetService":"svc","maxTries":2},` +
	`{"name":"d","hostName":"h","pathPrefix":"/download/","kind":"download","timeoutMs":%[2]d,"targetMs":500,"targetService":"svc","maxTries":2},` +
	`{"name":"j","hostName":"h","pathPrefix":"/p/","kind":"writing","timeoutMs":%[2]d,"targetMs":500,"targetService":"svc","maxTries":2}],` +
	`"serviceList":[{"name":"svc"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000}}`

// routeTimeoutMs is the time limit of the routes, above that of all clients.
const routeTimeoutMs = 20_000

// changeConfiguration replaces the configuration by the next version, at the first daemon
// that accepts it; false if none does.
func (r *run) changeConfiguration(ctx context.Context) bool {
	base := r.version.Load()
	text := fmt.Sprintf(configuration, base+1, routeTimeoutMs+base)
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

// call makes an operator's call and gives the status.
func call(ctx context.Context, method, address, path, body string, header http.Header) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTime)
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
	_, _ = io.Copy(io.Discard, response.Body) // only the status counts
	return response.StatusCode, response.Body.Close()
}

// maxAskedJobs is how many of the accepted jobs are asked for at the end of a run.
const maxAskedJobs = 300

// lostJobs asks for accepted jobs once all daemons are back, and gives those that the
// cluster doesn't know.
func (r *run) lostJobs(ctx context.Context, record Record) []Violation {
	var accepted []Request
	for _, request := range record.Requests {
		if request.Kind == kindJob && request.Ending == EndAnswered && request.Status < http.StatusMultipleChoices {
			accepted = append(accepted, request)
		}
	}
	step := max(len(accepted)/maxAskedJobs, 1)
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	var lost []Violation
	for i := 0; i < len(accepted); i += step {
		if status := r.jobStatus(ctx, accepted[i].ID); status != http.StatusOK {
			lost = append(lost, Violation{"LOST", fmt.Sprintf("an accepted job is answered %d at the end", status), accepted[i]})
		}
	}
	return lost
}

// jobStatus asks the daemons for a job until one knows an answer, and gives its status; 0:
// none does in time.
func (r *run) jobStatus(ctx context.Context, id string) int {
	for ctx.Err() == nil {
		for _, target := range r.targets() {
			status, err := call(ctx, http.MethodGet, target.address, jobPath+id, "", http.Header{"Host": {routeHost}})
			if err == nil && status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
				return status
			}
		}
		daemon.Pause(ctx, pollPause)
	}
	return 0
}
