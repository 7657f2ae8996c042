package sim

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"sort"
	"time"

	"tealpond/internal/protocol"
)

// Change is a configuration that an operator sends.
type Change struct {
	Version, Base int64
	Text          string
	Invalid       bool
	Routes        int // beside the first
}

// NewChange builds a change on a version: one more route of its own.
func (c *Cluster) NewChange(base int64) Change {
	v := c.version.Add(1 + c.version.Load()%3)
	return Change{Version: v, Base: base, Text: fmt.Sprintf(desired, v, route(fmt.Sprint("v", v)))}
}

func route(name string) string {
	return fmt.Sprintf(`,{"name":%q,"hostName":"h","pathPrefix":"/%s/","kind":"writing","timeoutMs":3000,"targetMs":250,"priority":0,"targetService":"svc","maxTries":3,"stretch":1.5}`, name, name)
}

// Operator sends changes and reads by the pages of the protocol: to any daemon
// that serves control, again after no clear answer, with growing pauses.
type Operator struct {
	c    *Cluster
	rnd  *rand.Rand
	http *http.Client
	// AckLost is the part of the answers that are lost on their way.
	AckLost float64
	// base is the newest version that it knows to be in force.
	base int64
}

// NewOperator builds one that knows the first configuration.
func (c *Cluster) NewOperator(seed int64) *Operator {
	return &Operator{c: c, rnd: rand.New(rand.NewSource(seed)), base: 1,
		http: &http.Client{Transport: &http.Transport{DialContext: c.Net.Host(c.ip(operatorHost)).DialContext}}}
}

// End closes its connections.
func (o *Operator) End() { o.http.CloseIdleConnections() }

// patience is how long a call waits for an answer.
func patience(routes int) time.Duration {
	return time.Second + time.Duration(3*routes)*time.Millisecond
}

// SendAt sends a change to one daemon, once, and gives the answer's code, or 0.
func (o *Operator) SendAt(at string, x Change) int {
	q := Call{At: at, Kind: CallReplace, Version: x.Version, Base: x.Base, Text: x.Text, Invalid: x.Invalid}
	o.make(&q, http.MethodPost, "/-/Config.Replace", x.Text, x.Routes)
	return q.Code
}

// ReadAt reads the configuration at one daemon, once.
func (o *Operator) ReadAt(at string) Call {
	q := Call{At: at, Kind: CallRead}
	o.make(&q, http.MethodGet, "/-/Config.Read", "", 0)
	return q
}

// make carries out a call and takes it down.
func (o *Operator) make(q *Call, method, path, body string, routes int) {
	heads := map[string]string{}
	if q.Kind == CallReplace {
		heads[protocol.HeaderBasedOn] = fmt.Sprint(q.Base)
	}
	q.Sent = time.Now()
	wait := patience(routes)
	code, raw, answer := o.c.callBy(o.http, wait, method, "http://"+o.c.IP(q.At)+":8166"+path, "", body, heads)
	if code != 0 && o.rnd.Float64() < o.AckLost {
		time.Sleep(wait - time.Since(q.Sent))
		code = 0
	}
	q.Done, q.Code, q.Retry = time.Now(), code, answer.Get(protocol.HeaderRetryAfter) != ""
	if q.Kind == CallRead && code == 200 {
		q.Text = string(raw)
		var v struct {
			Version int64 `json:"configVersion"`
		}
		_ = json.Unmarshal(raw, &v)
		q.Version = v.Version
	}
	o.c.Hist.called(*q)
}

// rounds calls one daemon after another until an answer is clear or time is up.
func (o *Operator) rounds(most time.Duration, call func(at string) int) int {
	pause, other := 50*time.Millisecond, 0
	for end := time.Now().Add(most); time.Now().Before(end); {
		edges := o.c.names("edge")
		switch code := call(edges[o.rnd.Intn(len(edges))]); {
		case code == 200, code == 400, code == 409, code == 412, code == 413, code == 422:
			return code
		case code >= 400 && code < 500 && code != 408 && code != 429:
			if other++; other == 3 {
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
func (o *Operator) Send(x Change, most time.Duration) int {
	code := o.rounds(most, func(at string) int { return o.SendAt(at, x) })
	if code == 200 {
		o.base = max(o.base, x.Version)
	}
	return code
}

// Read reads the newest configuration at any daemon; it gives the version, or 0.
func (o *Operator) Read(most time.Duration) int64 {
	var got Call
	o.rounds(most, func(at string) int { got = o.ReadAt(at); return got.Code })
	if got.Code == 200 {
		o.base = max(o.base, got.Version)
		return got.Version
	}
	return 0
}

// Step makes a change on the newest version that it knows, and looks again if
// that was not taken.
func (o *Operator) Step(most time.Duration) (Change, int) {
	x := o.c.NewChange(o.base)
	code := o.Send(x, most)
	if code != 200 {
		o.Read(most)
	}
	return x, code
}

// ReadAll reads at every daemon until it answers; all must give the same, and
// nothing older than the newest acknowledged (which the rules check).
func (o *Operator) ReadAll(most time.Duration) {
	o.c.T.Helper()
	texts := map[string][]string{}
	for _, n := range o.c.names("edge") {
		var got Call
		o.c.Until("the configuration is read at "+n, most, func() bool { got = o.ReadAt(n); return got.Code == 200 })
		texts[got.Text] = append(texts[got.Text], n)
	}
	if len(texts) != 1 {
		o.c.T.Errorf("the daemons give %d configurations: %v", len(texts), texts)
	}
}

// Acked are the changes that were acknowledged, oldest first.
func (h *History) Acked() []Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Change
	for _, x := range changes(h) {
		if x.acked {
			out = append(out, Change{Version: x.version, Base: x.base, Text: x.text})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}
