package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"tealpond/internal/protocol"
)

// Names in the configuration of the trial.
const (
	host      = "trial.example"
	jobPrefix = "/jobs/"
	service   = "trial"
)

// configuration has one route, which submits jobs to the runners of the trial.
const configuration = `{"configVersion":1,"routeList":[{"name":"jobs","hostName":"` + host + `","pathPrefix":"` + jobPrefix +
	`","kind":"writing","timeoutMs":3000,"targetMs":1000,"priority":0,"targetService":"` + service + `","maxTries":3,"stretch":2}],` +
	`"serviceList":[{"name":"` + service + `","guards":true}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144}}`

// callTimeout is the time limit of one call; daemons answer within a second.
const callTimeout = 1500 * time.Millisecond

// call makes an HTTP request to a daemon. A body that is not a string is encoded as JSON; an answer
// with status 200 is decoded into answer unless that is nil. A non-nil error means that the request
// failed or that its answer could not be decoded.
func (t *trial) call(method, address, path string, body, answer any, headers map[string]string) (status int, err error) {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	raw, isText := body.(string)
	if !isText && body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("%s %s: %w", method, path, err)
		}
		raw = string(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(raw)))
	if err != nil {
		return 0, fmt.Errorf("%s %s: %w", method, path, err)
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode == http.StatusOK && answer != nil {
		if err := json.Unmarshal(text, answer); err != nil {
			return 0, fmt.Errorf("%s %s: decode answer: %w", method, path, err)
		}
	}
	return response.StatusCode, nil
}

// control makes a call to the control port of the proxy, the daemon without a disk, which the trial
// never kills.
func (t *trial) control(method, path string, body, answer any, headers map[string]string) (status int, err error) {
	daemon, err := t.cluster.Daemon(t.cluster.Names()[servers])
	if err != nil {
		return 0, err
	}
	return t.call(method, daemon.ControlAddress(), path, body, answer, headers)
}

// client makes a call to the client port of the proxy.
func (t *trial) client(method, path string, body, answer any) (status int, err error) {
	daemon, err := t.cluster.Daemon(t.cluster.Names()[servers])
	if err != nil {
		return 0, err
	}
	return t.call(method, daemon.ClientAddress(), path, body, answer, nil)
}

// isReady reports whether the readiness endpoints of the servers and the proxy answer OK.
func (t *trial) isReady() bool {
	for _, name := range t.cluster.Names()[:servers+1] {
		daemon, err := t.cluster.Daemon(name)
		if err != nil {
			return false
		}
		if status, err := t.call(http.MethodGet, daemon.ReadinessAddress(), "/-/readiness", nil, nil, nil); err != nil || status != http.StatusOK {
			return false
		}
	}
	return true
}

// configure sends the configuration and reports whether it was accepted.
func (t *trial) configure() bool {
	status, err := t.control(http.MethodPost, "/-/Config.Replace", configuration, nil, map[string]string{protocol.HeaderBasedOn: "0"})
	return err == nil && status == http.StatusOK
}

// submit submits a job and reports whether it was accepted.
func (t *trial) submit(id string, job protocol.Job) bool {
	status, err := t.client(http.MethodPost, jobPrefix+id, job, nil)
	return err == nil && status == http.StatusOK
}

// jobState returns the state of a job, or an empty string if there is no answer.
func (t *trial) jobState(id string) string {
	var answer struct {
		State string `json:"state"`
	}
	if _, err := t.client(http.MethodGet, jobPrefix+id, nil, &answer); err != nil {
		return ""
	}
	return answer.State
}

// acquire tries to acquire a lock. It returns the fencing token, or 0 if another holder has the lock,
// and an error for any other answer.
func (t *trial) acquire(lock, holder string) (fence int64, err error) {
	var grant protocol.LockGrant
	status, err := t.control(http.MethodPost, "/-/Locks.Begin/"+lock, protocol.LockRequest{Holder: holder, HoldMs: lockHold.Milliseconds()}, &grant, nil)
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusConflict:
		return 0, nil
	case status != http.StatusOK:
		return 0, fmt.Errorf("acquire lock: unexpected status %d", status)
	}
	return grant.Fence, nil
}

// renew extends a lock and reports whether it is still held.
func (t *trial) renew(lock, holder string, fence int64) bool {
	status, err := t.control(http.MethodPost, "/-/Locks.Heartbeat/"+lock, protocol.LockRequest{Holder: holder, Fence: fence, HoldMs: lockHold.Milliseconds()}, nil, nil)
	return err == nil && status == http.StatusOK
}

// put sets the key to a value unless it has it already. It returns the revision of the key, or 0 if
// that is not known.
func (t *trial) put(value string) int64 {
	var answer protocol.RevisionResponse
	var known protocol.KeyResponse
	if _, err := t.control(http.MethodGet, "/-/Cells.Read/"+keyName, nil, &known, nil); err != nil {
		return 0
	}
	if known.Value == value {
		return known.Revision // an earlier put whose answer was lost took effect
	}
	status, err := t.control(http.MethodPost, "/-/Cells.Replace/"+keyName, protocol.PutRequest{Value: value, Expected: known.Revision}, &answer, nil)
	if err != nil || status != http.StatusOK {
		return 0
	}
	return answer.Revision
}

// watch waits up to 500 ms for puts after a revision. It returns nil if the request fails.
func (t *trial) watch(after int64) *protocol.WatchResponse {
	var answer protocol.WatchResponse
	status, err := t.control(http.MethodGet, fmt.Sprintf("/-/watch/%s?dependsOn=%d&waitMs=500", keyGroup, after), nil, &answer, nil)
	if err != nil || status != http.StatusOK {
		return nil
	}
	return &answer
}
