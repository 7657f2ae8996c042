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

// ConfigurationChange is a configuration that an operator sends.
type ConfigurationChange struct {
	Version, Base int64
	Text          string
	Invalid       bool
	Routes        int // beside the first
}

// NewChange builds a change on a version: one more route of its own.
func (c *Cluster) NewChange(base int64) ConfigurationChange {
	v := c.lastVersion.Add(1 + c.lastVersion.Load()%3)
	return ConfigurationChange{Version: v, Base: base, Text: fmt.Sprintf(configurationFormat, v, routeJSON(fmt.Sprint("v", v)))}
}

func routeJSON(name string) string {
	return fmt.Sprintf(`,{"name":%q,"hostName":"h","pathPrefix":"/%s/","kind":"writing","timeoutMs":3000,"targetMs":250,"priority":0,"targetService":"svc","maxTries":3,"stretch":1.5}`, name, name)
}

// Operator sends changes and reads by the pages of the protocol: to any daemon
// that serves control, again after no clear answer, with growing pauses.
type Operator struct {
	cluster *Cluster
	random  *rand.Rand
	client  *http.Client
	// AckLossRate is the part of the answers that are lost on their way.
	AckLossRate float64
	// knownVersion is the newest version that it knows to be in force.
	knownVersion int64
}

// NewOperator builds one that knows the first configuration.
func (c *Cluster) NewOperator(seed int64) *Operator {
	return &Operator{cluster: c, random: rand.New(rand.NewSource(seed)), knownVersion: 1,
		client: &http.Client{Transport: &http.Transport{DialContext: c.Network.Host(c.hostIP(operatorHost)).DialContext}}}
}

// Close closes its connections.
func (o *Operator) Close() { o.client.CloseIdleConnections() }

// requestTimeout is how long a call waits for an answer.
func requestTimeout(routes int) time.Duration {
	return time.Second + time.Duration(3*routes)*time.Millisecond
}

// SendAt sends a change to one daemon, once, and gives the answer's code, or 0.
func (o *Operator) SendAt(node string, change ConfigurationChange) int {
	call := Call{Node: node, Kind: CallReplace, Version: change.Version, Base: change.Base, Text: change.Text, Invalid: change.Invalid}
	o.perform(&call, http.MethodPost, "/-/Config.Replace", change.Text, change.Routes)
	return call.Code
}

// ReadAt reads the configuration at one daemon, once.
func (o *Operator) ReadAt(node string) Call {
	call := Call{Node: node, Kind: CallRead}
	o.perform(&call, http.MethodGet, "/-/Config.Read", "", 0)
	return call
}

// perform carries out a call and takes it down.
func (o *Operator) perform(call *Call, method, path, body string, routes int) {
	headers := map[string]string{}
	if call.Kind == CallReplace {
		headers[protocol.HeaderBasedOn] = fmt.Sprint(call.Base)
	}
	call.Sent = time.Now()
	timeout := requestTimeout(routes)
	code, raw, responseHeaders := o.cluster.requestFrom(o.client, timeout, method, "http://"+o.cluster.NodeIP(call.Node)+":8166"+path, "", body, headers)
	if code != 0 && o.random.Float64() < o.AckLossRate {
		time.Sleep(timeout - time.Since(call.Sent))
		code = 0
	}
	call.Done, call.Code, call.HasRetryAfter = time.Now(), code, responseHeaders.Get(protocol.HeaderRetryAfter) != ""
	if call.Kind == CallRead && code == 200 {
		call.Text = string(raw)
		var v struct {
			Version int64 `json:"configVersion"`
		}
		_ = json.Unmarshal(raw, &v)
		call.Version = v.Version
	}
	o.cluster.History.recordCall(*call)
}

// tryNodes calls one daemon after another until an answer is clear or time is up.
func (o *Operator) tryNodes(timeout time.Duration, call func(at string) int) int {
	pause, otherRefusals := 50*time.Millisecond, 0
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		edges := o.cluster.nodeNames("edge")
		switch code := call(edges[o.random.Intn(len(edges))]); {
		case code == 200, code == 400, code == 409, code == 412, code == 413, code == 422:
			return code
		case code >= 400 && code < 500 && code != 408 && code != 429:
			if otherRefusals++; otherRefusals == 3 {
				return code
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0
}

// Send sends a change until its answer is clear: 200, a refusal, or 0 when time
// is up and it may or may not be in force.
func (o *Operator) Send(change ConfigurationChange, timeout time.Duration) int {
	code := o.tryNodes(timeout, func(node string) int { return o.SendAt(node, change) })
	if code == 200 {
		o.knownVersion = max(o.knownVersion, change.Version)
	}
	return code
}

// Read reads the newest configuration at any daemon; it gives the version, or 0.
func (o *Operator) Read(timeout time.Duration) int64 {
	var call Call
	o.tryNodes(timeout, func(at string) int { call = o.ReadAt(at); return call.Code })
	if call.Code == 200 {
		o.knownVersion = max(o.knownVersion, call.Version)
		return call.Version
	}
	return 0
}

// MakeChange makes a change on the newest version that it knows, and looks again if
// that was not taken.
func (o *Operator) MakeChange(timeout time.Duration) (ConfigurationChange, int) {
	change := o.cluster.NewChange(o.knownVersion)
	code := o.Send(change, timeout)
	if code != 200 {
		o.Read(timeout)
	}
	return change, code
}

// ReadAll reads at every daemon until it answers; all must give the same, and
// nothing older than the newest acknowledged (which the rules check).
func (o *Operator) ReadAll(timeout time.Duration) {
	o.cluster.T.Helper()
	texts := map[string][]string{}
	for _, node := range o.cluster.nodeNames("edge") {
		var call Call
		o.cluster.WaitUntil("the configuration is read at "+node, timeout, func() bool { call = o.ReadAt(node); return call.Code == 200 })
		texts[call.Text] = append(texts[call.Text], node)
	}
	if len(texts) != 1 {
		o.cluster.T.Errorf("the daemons give %d configurations: %v", len(texts), texts)
	}
}

// Acknowledged are the changes that were acknowledged, oldest first.
func (h *History) Acknowledged() []ConfigurationChange {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []ConfigurationChange
	for _, sent := range sentConfigurations(h) {
		if sent.acknowledged {
			out = append(out, ConfigurationChange{Version: sent.version, Base: sent.base, Text: sent.text})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}
