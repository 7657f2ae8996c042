package simulation

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"sort"
	"time"

	"tealpond/internal/protocol"
)

// ConfigurationChange is a configuration that an operator sends, based on a previous version.
type ConfigurationChange struct {
	Version, Base int64
	Text          string
	Invalid       bool // the configuration must not be accepted
	Routes        int  // in addition to the one that each configuration has
}

// NewChange returns a change of a version that adds one route with a unique name.
func (c *Cluster) NewChange(base int64) ConfigurationChange {
	version := c.lastVersion.Add(1 + c.lastVersion.Load()%3)
	return ConfigurationChange{Version: version, Base: base, Text: configurationText(version, routeJSON(fmt.Sprint("v", version)))}
}

// routeJSON returns a route in the form that configurationFormat takes.
func routeJSON(name string) string {
	return fmt.Sprintf(`,{"name":%q,"hostName":"h","pathPrefix":"/%s/","kind":"writing","timeoutMs":3000,"targetMs":250,"priority":0,"targetService":"svc","maxTries":3,"stretch":1.5}`, name, name)
}

// Operator sends changes and reads the configuration by the operators' protocol: at any
// node that serves the control API, with retries and exponential backoff while the outcome is
// unknown.
type Operator struct {
	cluster *Cluster
	random  *rand.Rand
	client  *http.Client
	// AckLossRate is the fraction of the responses that are lost.
	AckLossRate float64
	// knownVersion is the newest version known to have been in force.
	knownVersion int64
}

// NewOperator returns an operator that knows the first configuration.
func (c *Cluster) NewOperator(seed int64) *Operator {
	return &Operator{cluster: c, random: rand.New(rand.NewSource(seed)), knownVersion: 1,
		client: &http.Client{Transport: &http.Transport{DialContext: c.Network.Host(c.hostIP(operatorHost)).DialContext}}}
}

// Close closes the operator's idle connections.
func (operator *Operator) Close() { operator.client.CloseIdleConnections() }

// requestTimeout returns how long an operator waits for a response.
func requestTimeout(routes int) time.Duration {
	return time.Second + time.Duration(3*routes)*time.Millisecond
}

// SendAt sends a change once to one node. It returns the status code, or 0 if there was no
// response.
func (operator *Operator) SendAt(node string, change ConfigurationChange) int {
	call := Call{Node: node, Kind: CallReplace, Version: change.Version, Base: change.Base, Text: change.Text, Invalid: change.Invalid}
	operator.perform(&call, http.MethodPost, "/-/Config.Replace", change.Text, change.Routes)
	return call.Code
}

// ReadAt reads the configuration once at one node.
func (operator *Operator) ReadAt(node string) Call {
	call := Call{Node: node, Kind: CallRead}
	operator.perform(&call, http.MethodGet, "/-/Config.Read", "", 0)
	return call
}

// perform makes a call and records it.
func (operator *Operator) perform(call *Call, method, path, body string, routes int) {
	headers := map[string]string{}
	if call.Kind == CallReplace {
		headers[protocol.HeaderBasedOn] = fmt.Sprint(call.Base)
	}
	call.Sent = time.Now()
	timeout := requestTimeout(routes)
	code, raw, responseHeaders := operator.cluster.requestFrom(operator.client, timeout, method, operator.cluster.nodeURL(call.Node, controlPort, path), "", body, headers)
	if code != 0 && operator.random.Float64() < operator.AckLossRate {
		time.Sleep(timeout - time.Since(call.Sent))
		code = 0
	}
	call.Done, call.Code, call.HasRetryAfter = time.Now(), code, responseHeaders.Get(protocol.HeaderRetryAfter) != ""
	if call.Kind == CallRead && code == http.StatusOK {
		call.Text = string(raw)
		var configuration struct {
			Version int64 `json:"configVersion"`
		}
		if err := json.Unmarshal(raw, &configuration); err != nil {
			operator.cluster.T.Errorf("decode the configuration of %s: %v", call.Node, err)
		}
		call.Version = configuration.Version
	}
	operator.cluster.History.recordCall(*call)
}

// tryNodes calls random nodes until the outcome is known or the timeout expires. It returns
// the status code, or 0 if the outcome is still unknown.
func (operator *Operator) tryNodes(timeout time.Duration, call func(node string) int) int {
	pause, unspecifiedRefusals := 50*time.Millisecond, 0
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		edges := operator.cluster.nodeNames(edgeRole)
		switch code := call(edges[operator.random.Intn(len(edges))]); {
		case code == http.StatusOK, code == http.StatusBadRequest, code == http.StatusConflict, code == http.StatusPreconditionFailed,
			code == http.StatusRequestEntityTooLarge, code == http.StatusUnprocessableEntity:
			return code
		case Call{Code: code}.isFinalRefusal():
			// A refusal that the protocol doesn't specify counts as final the third time.
			if unspecifiedRefusals++; unspecifiedRefusals == 3 {
				return code
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0
}

// Send sends a change until its outcome is known. It returns 200, the code of a refusal, or 0
// if the timeout expired and the change may or may not be in force.
func (operator *Operator) Send(change ConfigurationChange, timeout time.Duration) int {
	code := operator.tryNodes(timeout, func(node string) int { return operator.SendAt(node, change) })
	if code == http.StatusOK {
		operator.knownVersion = max(operator.knownVersion, change.Version)
	}
	return code
}

// Read reads the configuration at any node and returns its version, or 0 if it could not be
// read.
func (operator *Operator) Read(timeout time.Duration) int64 {
	var call Call
	operator.tryNodes(timeout, func(node string) int { call = operator.ReadAt(node); return call.Code })
	if call.Code == http.StatusOK {
		operator.knownVersion = max(operator.knownVersion, call.Version)
		return call.Version
	}
	return 0
}

// MakeChange sends a change of the newest known version, and reads the configuration if the
// change is not acknowledged. It returns the change and its status code.
func (operator *Operator) MakeChange(timeout time.Duration) (ConfigurationChange, int) {
	change := operator.cluster.NewChange(operator.knownVersion)
	code := operator.Send(change, timeout)
	if code != http.StatusOK {
		operator.Read(timeout)
	}
	return change, code
}

// ReadAll reads the configuration at every node, with retries. All nodes must return the same
// one. The checkers verify that it is not older than what was acknowledged.
func (operator *Operator) ReadAll(timeout time.Duration) {
	operator.cluster.T.Helper()
	texts := map[string][]string{}
	for _, node := range operator.cluster.nodeNames(edgeRole) {
		var call Call
		operator.cluster.WaitUntil("the configuration is read at "+node, timeout, func() bool { call = operator.ReadAt(node); return call.Code == http.StatusOK })
		texts[call.Text] = append(texts[call.Text], node)
	}
	if len(texts) != 1 {
		operator.cluster.T.Errorf("the nodes return %d different configurations: %v", len(texts), texts)
	}
}

// Acknowledged returns the changes that were acknowledged, in order of their versions.
func (h *History) Acknowledged() []ConfigurationChange {
	h.mu.Lock()
	defer h.mu.Unlock()
	var changes []ConfigurationChange
	for _, sent := range sentConfigurations(h) {
		if sent.acknowledged {
			changes = append(changes, ConfigurationChange{Version: sent.version, Base: sent.base, Text: sent.text})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Version < changes[j].Version })
	return changes
}
