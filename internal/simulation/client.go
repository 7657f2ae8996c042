package simulation

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

const (
	// callTimeout is how long clients and runners wait for a response.
	callTimeout = 3 * time.Second
	// heartbeatInterval is the time between two heartbeats of a runner.
	heartbeatInterval = 500 * time.Millisecond
	// submitAttempts is how often a client submits a job before it gives up.
	submitAttempts = 12
	// maxAttempts is the number of attempts that the route allows a task.
	maxAttempts = 3
)

// defaultPathPrefix is the path prefix of the route that each configuration contains.
const defaultPathPrefix = "/p/"

// configurationFormat is the format of a configuration. Its arguments are the version, more
// routes, and the tenants.
const configurationFormat = `{"configVersion":%d,"routeList":[{"name":"a","hostName":"h","pathPrefix":"/p/","kind":"writing","timeoutMs":3000,"targetMs":250,"priority":0,"targetService":"svc","maxTries":3,"stretch":1.5}%s],"serviceList":[{"name":"svc","guards":true}],"tenantList":%s}`

// configurationText returns a configuration with a version and more routes.
func configurationText[N int | int64](version N, moreRoutes string) string {
	return fmt.Sprintf(configurationFormat, version, moreRoutes, tenantList)
}

// request makes a call as a client. It returns the status code, or 0 if there was no
// response, and the response's body and headers.
func (c *Cluster) request(method, url, host string, body any, headers map[string]string) (int, []byte, http.Header) {
	return c.requestFrom(c.client, callTimeout, method, url, host, body, headers)
}

// requestFrom makes a call with a caller's own HTTP client. A body that is a string
// is sent unchanged, any other is encoded as JSON.
func (c *Cluster) requestFrom(client *http.Client, timeout time.Duration, method, url, host string, body any, headers map[string]string) (int, []byte, http.Header) {
	text, ok := body.(string)
	raw := []byte(text)
	if !ok {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			c.T.Fatal(err)
		}
	}
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		c.T.Fatal(err)
	}
	if host != "" {
		request.Host = host
	}
	for k, v := range headers {
		request.Header.Set(k, v)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil
	}
	received, err := io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err != nil || closeErr != nil {
		return 0, nil, nil
	}
	return response.StatusCode, received, response.Header
}

// PutConfiguration sends a configuration to a node once and returns the status code.
func (c *Cluster) PutConfiguration(node string, version, base int, moreRoutes string) int {
	return c.putConfiguration(node, version, base, moreRoutes, tenantList)
}

// putConfiguration is PutConfiguration with other tenants.
func (c *Cluster) putConfiguration(node string, version, base int, moreRoutes, tenants string) int {
	return c.putConfigurationText(node, version, base, fmt.Sprintf(configurationFormat, version, moreRoutes, tenants))
}

// putConfigurationText is PutConfiguration with the whole text of the configuration.
func (c *Cluster) putConfigurationText(node string, version, base int, text string) int {
	call := Call{Sent: time.Now(), Node: node, Kind: CallReplace, Version: int64(version), Base: int64(base), Text: text}
	code, _, headers := c.request(http.MethodPost, c.nodeURL(node, controlPort, "/-/Config.Replace"), "", call.Text, map[string]string{protocol.HeaderBasedOn: fmt.Sprint(base)})
	c.recordResponse(&call, code, headers)
	return code
}

// clientRequest makes a client's call about a job and records it.
func (c *Cluster) clientRequest(node, kind, method, path string, body any) (int, []byte) {
	key := keyOf(tenantOf(path))
	return c.clientRequestWithKey(key, node, kind, method, path, body)
}

// clientRequestWithKey is clientRequest with an API key other than that of the job's tenant.
func (c *Cluster) clientRequestWithKey(key, node, kind, method, path string, body any) (int, []byte) {
	call := Call{Sent: time.Now(), Node: node, Kind: kind, UnknownKey: key == unknownKey}
	headers := map[string]string{protocol.HeaderTimeLeft: "2000", protocol.HeaderAuthorization: authorization(key)}
	code, raw, received := c.request(method, c.nodeURL(node, clientPort, path), "h", body, headers)
	c.recordResponse(&call, code, received)
	return code, raw
}

// recordResponse adds the response to a call and records the call.
func (c *Cluster) recordResponse(call *Call, code int, headers http.Header) {
	call.Done, call.Code, call.HasRetryAfter = time.Now(), code, headers.Get(protocol.HeaderRetryAfter) != ""
	c.History.recordCall(*call)
}

// SubmitJob submits a job, and retries at other nodes, until it is accepted or
// submitAttempts are used up. It reports whether the job was accepted.
func (c *Cluster) SubmitJob(id string, job protocol.Job) bool {
	return c.SubmitJobUnder(defaultPathPrefix, id, job)
}

// SubmitJobUnder is SubmitJob for another route.
func (c *Cluster) SubmitJobUnder(pathPrefix, id string, job protocol.Job) bool {
	submitted := &SubmittedJob{JobSpec: job.Spec, Cluster: c.Name, MaxAttempts: maxAttempts}
	for _, step := range job.Steps {
		submitted.TaskCounts = append(submitted.TaskCounts, step.TaskCount)
		submitted.MilliCPU = append(submitted.MilliCPU, step.CPUUnits)
		submitted.Dependencies = append(submitted.Dependencies, step.DependsOn)
		submitted.AllowsCopies = submitted.AllowsCopies || step.Speculative
	}
	c.History.mu.Lock()
	c.History.Jobs[id] = submitted
	c.History.mu.Unlock()
	edges := c.nodeNames(edgeRole)
	rejected := true
	for attempt := range submitAttempts {
		node := edges[(int(id[15])+attempt)%len(edges)]
		code, _ := c.clientRequest(node, CallSubmit, http.MethodPost, pathPrefix+id, job)
		if code == http.StatusOK {
			c.History.mu.Lock()
			submitted.Accepted = true
			c.History.mu.Unlock()
			return true
		}
		if code != http.StatusTooManyRequests && code != http.StatusServiceUnavailable {
			rejected = false
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.History.mu.Lock()
	submitted.Rejected = rejected
	c.History.mu.Unlock()
	return false
}

// JobState asks a node for a job's state. It returns the status code as text if that
// is not 200.
func (c *Cluster) JobState(node, id string) string {
	return c.JobStateUnder(defaultPathPrefix, node, id)
}

// JobStateUnder is JobState for another route.
func (c *Cluster) JobStateUnder(pathPrefix, node, id string) string {
	code, raw := c.clientRequest(node, CallStatus, http.MethodGet, pathPrefix+id, "")
	if code != http.StatusOK {
		if code == http.StatusGone {
			c.History.record(Event{Kind: EventJobStateReported, Job: id, State: jobGone})
		}
		return fmt.Sprint(code)
	}
	var status struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(raw, &status); err != nil {
		c.T.Errorf("decode the state of job %s at %s: %v", id, node, err)
	}
	c.History.record(Event{Kind: EventJobStateReported, Job: id, State: status.State})
	return status.State
}

// CancelJob sends one cancel of a job to a node and returns the status code.
func (c *Cluster) CancelJob(node, id string) int {
	return c.CancelJobUnder(defaultPathPrefix, node, id)
}

// CancelJobUnder is CancelJob for another route.
func (c *Cluster) CancelJobUnder(pathPrefix, node, id string) int {
	c.History.mu.Lock()
	if job := c.History.Jobs[id]; job != nil {
		job.CancelRequested = true
	}
	c.History.mu.Unlock()
	code, _ := c.clientRequest(node, CallCancel, http.MethodDelete, pathPrefix+id, "")
	if code == http.StatusOK {
		c.History.mu.Lock()
		if job := c.History.Jobs[id]; job != nil && job.CanceledAt.IsZero() {
			job.CanceledAt = time.Now()
		}
		c.History.mu.Unlock()
	}
	return code
}

// IsReady reports whether a node's readiness endpoint answers 200.
func (c *Cluster) IsReady(node string) bool {
	code, _, _ := c.request(http.MethodGet, c.nodeURL(node, readinessPort, "/-/readiness"), "", "", nil)
	return code == http.StatusOK
}

// sendHeartbeats sends a runner's heartbeats to its agent until ctx ends.
func (c *Cluster) sendHeartbeats(ctx context.Context, name string) {
	for ctx.Err() == nil {
		incarnation, heartbeat := c.Runners[name].heartbeat()
		code, _, _ := c.request(http.MethodPost, c.nodeURL(name, controlPort, "/-/Runners.Heartbeat/"+incarnation), "", heartbeat, nil)
		if code == http.StatusOK && heartbeat.State == "draining" {
			c.History.record(Event{Kind: EventDraining, Node: name, Incarnation: incarnation})
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}
