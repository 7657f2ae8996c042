package sim

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime/pprof"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/agent"
	_ "tealpond/internal/api" // registers the edge role
	"tealpond/internal/kernel"
	"tealpond/internal/protocol"
	"tealpond/internal/settings"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
)

// Cluster is whole daemons on one stand-in network.
type Cluster struct {
	T       *testing.T
	Net     *Net
	Hist    *History
	Name    string
	dir     string
	mu      sync.RWMutex // guards daemons
	daemons map[string]*daemon
	Runners map[string]*Runner
	base    int
	lost    int
	debug   bool
	added   atomic.Int64 // machines added in mid-life
	version atomic.Int64 // the newest number given to a configuration
	seeds   []string
	out     io.Writer
	outside *http.Client
	beats   context.CancelFunc
	moves   string
	onLog   atomic.Pointer[func(line string)]
}

type daemon struct {
	name  string
	ip    string
	role  string
	core  bool
	first bool
	zone  string
	no    int
	kill  context.CancelCauseFunc
	done  chan struct{}
	gate  gate
	set   chan settings.File
}

// Shape is what a cluster is built of.
type Shape struct {
	Core, Edge, Side int
	Lost             int
	Zones            int // one if not said
	Net              *Net
	Base             int
	Name             string
	// Moves is the file that turns moving on, if any.
	Moves string
	// Hist is a history shared with another cluster, if any.
	Hist *History
	// Debug turns on the lines of that level, which Freeze needs.
	Debug bool
}

// Build starts a cluster and waits for nothing.
func Build(t *testing.T, s Shape) *Cluster {
	if s.Net == nil {
		s.Net = NewNet()
	}
	c := &Cluster{T: t, Net: s.Net, Hist: NewHistory(), Name: s.Name, dir: t.TempDir(), daemons: map[string]*daemon{}, Runners: map[string]*Runner{}, base: s.Base, out: io.Discard}
	if s.Moves != "" {
		c.moves = filepath.Join(c.dir, "moves.toml")
		if err := os.WriteFile(c.moves, []byte(s.Moves), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if os.Getenv("TEALPOND_TEST_LOG") != "" {
		c.out = os.Stderr
	}
	if s.Hist != nil {
		c.Hist = s.Hist
	}
	lost := s.Lost
	if lost == 0 {
		lost = (s.Core - 1) / 2
	}
	c.lost, c.debug = lost, s.Debug
	c.version.Store(1)
	zone := func(i int) string {
		if s.Zones < 2 {
			return "z"
		}
		return fmt.Sprint("z", i%s.Zones)
	}
	for i := range s.Core + s.Edge {
		c.add(&daemon{zone: zone(i), name: fmt.Sprintf("%sedge-%d", s.Name, i+1), ip: c.ip(i + 1), role: "edge", core: i < s.Core, first: true})
		if i < 3 {
			c.seeds = append(c.seeds, c.ip(i+1)+":8166")
		}
	}
	for i := range s.Side {
		n := fmt.Sprintf("%sside-%d", s.Name, i+1)
		c.add(&daemon{zone: zone(i), name: n, ip: c.ip(sideNo(i)), role: "side", first: true})
		c.Runners[n] = NewRunner(c.Hist, n, "svc", int64(i+1))
		c.Runners[n].Zone = zone(i)
	}
	c.outside = &http.Client{Transport: &http.Transport{DialContext: c.Net.Host(c.ip(clientHost)).DialContext}}
	for _, n := range c.names("") {
		c.Start(n, lost)
	}
	ctx, stop := context.WithCancel(context.Background())
	c.beats = stop
	for n := range c.Runners {
		go c.beat(ctx, n)
	}
	return c
}

// sideBase is the number of the first side daemon's address; those of outside
// callers, from 250 on, are left out.
const sideBase = 100

func (c *Cluster) ip(i int) string { return fmt.Sprintf("10.%d.%d.%d", c.base, i/256, i%256) }

func sideNo(i int) int {
	if i += sideBase; i >= 250 {
		return i + 10
	}
	return i
}

func (c *Cluster) add(d *daemon) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.daemons {
		d.no = max(d.no, o.no+1)
	}
	c.daemons[d.name] = d
}

func (c *Cluster) daemon(name string) *daemon {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.daemons[name]
}

func (c *Cluster) names(role string) []string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []string
	for n, d := range c.daemons {
		if role == "" || d.role == role {
			out = append(out, n)
		}
	}
	sort.Slice(out, func(x, y int) bool { return c.daemons[out[x]].no < c.daemons[out[y]].no })
	return out
}

// IP is a daemon's address; one where nobody is for a daemon that was removed.
func (c *Cluster) IP(name string) string {
	if d := c.daemon(name); d != nil {
		return d.ip
	}
	return c.ip(nobody)
}

func (c *Cluster) settings(d *daemon, lost int) settings.File {
	s := settings.File{NodeName: d.name, IPAddress: d.ip, Zone: d.zone, InnerPortRange: []int{7720, 7730}, SeedNodes: c.seeds,
		FirstStart: d.first, HeartbeatIntervalMs: 500, RunnerAddress: d.ip + ":8165"}
	s.Bounds = settings.Bounds{GraceS: 6, MaxLeaseMs: 6000, StopGraceMs: 400, DrainMs: 2500, GangWaitMs: 3000, StatusS: 120, SpreadFactor: 1.5, CheckpointEveryS: 1}
	s.Tolerance.LostMachines = lost
	s.Limits.MemoryMb = 284
	s.ListenAddresses.Control = d.ip + ":8166"
	if d.role == "edge" {
		s.Serves = []string{"edge", "control"}
		s.ListenAddresses.FrontHTTP, s.ListenAddresses.Readiness = d.ip+":8161", d.ip+":8167"
		if d.core {
			s.DataDir, s.LossCounts = filepath.Join(c.dir, d.name), true
			_ = os.MkdirAll(s.DataDir, 0o755)
		}
	} else {
		s.Serves = []string{"side"}
	}
	return s
}

// Start starts a daemon; it must not be running.
func (c *Cluster) Start(name string, lost int) {
	d := c.daemon(name)
	set := c.settings(d, lost)
	ctx, kill := context.WithCancelCause(transport.WithNetwork(context.Background(), c.Net.Host(d.ip)))
	b := kernel.Base{Setting: set, Log: log.NewLogfmtLogger(log.NewSyncWriter(watch{c})), Life: fmt.Sprint(time.Now().UnixNano()), Reload: make(chan settings.File, 1), Trace: tracing.NewRing(4096)}
	if d.core {
		b.Moves = c.moves
	}
	b.Debug = c.debug || c.out != io.Discard
	d.set = b.Reload
	b.Log = log.With(gated{&d.gate, b.Log}, "t", log.Valuer(func() any { return time.Now().Format("05.000") }), "node", name)
	var p kernel.Plug
	if d.role == "side" {
		p = agent.New(b, c.Runners[name])
	} else {
		m, _ := kernel.Find("edge")
		var err error
		if p, err = m.Make(b); err != nil {
			c.T.Fatalf("%s: %v", name, err)
		}
	}
	d.kill, d.done, d.first = kill, make(chan struct{}), false
	// Why labels: a profile then tells the daemons of one process apart.
	go pprof.Do(ctx, pprof.Labels("role", d.role, "node", name), func(ctx context.Context) {
		if err := p.Run(ctx); err != nil {
			c.T.Errorf("%s: %v", name, err)
		}
		close(d.done)
	})
}

// watch hands each line of a log to the test.
type watch struct{ c *Cluster }

func (w watch) Write(p []byte) (int, error) {
	if f := w.c.onLog.Load(); f != nil {
		(*f)(string(p))
	}
	return w.c.out.Write(p)
}

// Kill ends a daemon at once.
func (c *Cluster) Kill(name string) {
	d := c.daemon(name)
	c.Net.Down(d.ip)
	d.kill(kernel.Killed)
	<-d.done
	c.Net.Down(d.ip)
}

// Term asks a daemon to end and waits for it.
func (c *Cluster) Term(name string) {
	d := c.daemon(name)
	d.kill(context.Canceled)
	<-d.done
	c.Net.Down(d.ip)
}

// Wipe empties the disk of a daemon that isn't running.
func (c *Cluster) Wipe(name string) {
	if err := os.RemoveAll(filepath.Join(c.dir, name)); err != nil {
		c.T.Fatal(err)
	}
}

// Island cuts a daemon off from some others, both ways, or joins it again.
func (c *Cluster) Island(name string, cut bool, others ...string) {
	for _, o := range others {
		for _, p := range [][2]string{{c.IP(name), c.IP(o)}, {c.IP(o), c.IP(name)}} {
			if cut {
				c.Net.Cut(p[0], p[1])
			} else {
				c.Net.Join(p[0], p[1])
			}
		}
	}
}

// End stops everything.
func (c *Cluster) End() {
	c.beats()
	for _, n := range c.names("") {
		d := c.daemon(n)
		d.gate.open()
		d.kill(kernel.Killed)
	}
	for _, n := range c.names("") {
		d := c.daemon(n)
		<-d.done
		c.Net.Down(d.ip)
	}
	c.outside.CloseIdleConnections()
	time.Sleep(15 * time.Second)
}

func (c *Cluster) beat(ctx context.Context, name string) {
	for ctx.Err() == nil {
		life, b := c.Runners[name].beat()
		code, _, _ := c.call(http.MethodPost, "http://"+c.IP(name)+":8166/-/Runners.Heartbeat/"+life, "", b, nil)
		if code == 200 && b.State == "draining" {
			c.Hist.add(Fact{Kind: "draining", Node: name, Life: life})
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (c *Cluster) call(method, url, host string, body any, heads map[string]string) (int, []byte, http.Header) {
	return c.callBy(c.outside, 3*time.Second, method, url, host, body, heads)
}

// callBy makes a call by a caller's own connections, within a time.
func (c *Cluster) callBy(by *http.Client, most time.Duration, method, url, host string, body any, heads map[string]string) (int, []byte, http.Header) {
	raw, _ := json.Marshal(body)
	if s, ok := body.(string); ok {
		raw = []byte(s)
	}
	ctx, stop := context.WithTimeout(context.Background(), most)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		c.T.Fatal(err)
	}
	if host != "" {
		q.Host = host
	}
	for k, v := range heads {
		q.Header.Set(k, v)
	}
	p, err := by.Do(q)
	if err != nil {
		return 0, nil, nil
	}
	defer p.Body.Close()
	out, err := io.ReadAll(p.Body)
	if err != nil {
		return 0, nil, nil
	}
	return p.StatusCode, out, p.Header
}

const desired = `{"configVersion":%d,"routeList":[{"name":"a","hostName":"h","pathPrefix":"/p/","kind":"writing","timeoutMs":3000,"targetMs":250,"priority":0,"targetService":"svc","maxTries":3,"stretch":1.5}%s],"serviceList":[{"name":"svc","guards":true}]}`

// Put sends a desired state to a daemon.
func (c *Cluster) Put(at string, version, base int, more string) int {
	q := Call{Sent: time.Now(), At: at, Kind: CallReplace, Version: int64(version), Base: int64(base), Text: fmt.Sprintf(desired, version, more)}
	code, _, heads := c.call(http.MethodPost, "http://"+c.IP(at)+":8166/-/Config.Replace", "", q.Text, map[string]string{protocol.HeaderBasedOn: fmt.Sprint(base)})
	q.Done, q.Code, q.Retry = time.Now(), code, heads.Get(protocol.HeaderRetryAfter) != ""
	c.Hist.called(q)
	return code
}

// Ready puts the first desired state and waits until all workers are known.
func (c *Cluster) Ready() {
	c.T.Helper()
	c.Until("the first desired state is taken", 20*time.Second, func() bool { return c.Put(c.Name+"edge-1", 1, 0, "") == 200 })
	time.Sleep(3 * time.Second)
}

// Until waits for something on the test's clock.
func (c *Cluster) Until(what string, most time.Duration, ok func() bool) {
	c.T.Helper()
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.T.Fatalf("not within %v: %s", most, what)
}

// HandIn sends a job, again to other daemons, until the answer is clear.
func (c *Cluster) HandIn(id string, job protocol.Job) bool { return c.HandInAt("/p/", id, job) }

// clientCall makes a client's call about a job and takes it down.
func (c *Cluster) clientCall(at, kind, method, path string, body any) (int, []byte) {
	q := Call{Sent: time.Now(), At: at, Kind: kind}
	code, raw, heads := c.call(method, "http://"+c.IP(at)+":8161"+path, "h", body, map[string]string{protocol.HeaderTimeLeft: "2000"})
	q.Done, q.Code, q.Retry = time.Now(), code, heads.Get(protocol.HeaderRetryAfter) != ""
	c.Hist.called(q)
	return code, raw
}

// HandInAt is HandIn to another inbox.
func (c *Cluster) HandInAt(inbox, id string, job protocol.Job) bool {
	j := &Handed{Spec: job.Spec, Tries: 3}
	for _, s := range job.Steps {
		j.Counts = append(j.Counts, s.TaskCount)
		j.Deps = append(j.Deps, s.DependsOn)
		j.Twice = j.Twice || s.Speculative
	}
	c.Hist.mu.Lock()
	c.Hist.Jobs[id] = j
	c.Hist.mu.Unlock()
	edges := c.names("edge")
	refused := true
	for try := range 12 {
		at := edges[(int(id[15])+try)%len(edges)]
		code, _ := c.clientCall(at, CallHandIn, http.MethodPost, inbox+id, job)
		if code == 200 {
			c.Hist.mu.Lock()
			j.Taken = true
			c.Hist.mu.Unlock()
			return true
		}
		if code != 429 && code != 503 {
			refused = false
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.Hist.mu.Lock()
	j.Refused = refused
	c.Hist.mu.Unlock()
	return false
}

// State asks for a job's state at a daemon, or an HTTP code.
func (c *Cluster) State(at, id string) string { return c.StateAt("/p/", at, id) }

// StateAt is State at another inbox.
func (c *Cluster) StateAt(inbox, at, id string) string {
	code, raw := c.clientCall(at, CallStatus, http.MethodGet, inbox+id, "")
	if code != 200 {
		if code == 410 {
			c.Hist.add(Fact{Kind: "shown", Job: id, State: "410"})
		}
		return fmt.Sprint(code)
	}
	var a struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(raw, &a)
	c.Hist.add(Fact{Kind: "shown", Job: id, State: a.State})
	return a.State
}

// Cancel calls a job off.
func (c *Cluster) Cancel(at, id string) int { return c.CancelAt("/p/", at, id) }

// CancelAt is Cancel at another inbox.
func (c *Cluster) CancelAt(inbox, at, id string) int {
	c.Hist.mu.Lock()
	if j := c.Hist.Jobs[id]; j != nil {
		j.OffWant = true
	}
	c.Hist.mu.Unlock()
	code, _ := c.clientCall(at, CallCancel, http.MethodDelete, inbox+id, "")
	if code == 200 {
		c.Hist.mu.Lock()
		if j := c.Hist.Jobs[id]; j != nil && j.OffAt.IsZero() {
			j.OffAt = time.Now()
		}
		c.Hist.mu.Unlock()
	}
	return code
}

// Leader is the core daemon that answers a read of the desired state fastest;
// used only to choose whom to harm.
func (c *Cluster) Leader() string {
	for _, n := range c.names("edge") {
		if d := c.daemon(n); d.core {
			if l := leaderOf(c, n); l != "" {
				return l
			}
		}
	}
	return ""
}
