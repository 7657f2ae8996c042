package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tealpond/internal/localcluster"
	"tealpond/internal/settings"
)

const gatewayConfiguration = `{"configVersion":1,"routeList":[{"name":"pay","hostName":"pay.example","pathPrefix":"/pay/","kind":"writing",` +
	`"timeoutMs":3000,"targetMs":800,"priority":1,"targetService":"payouts","maxTries":2}],` +
	`"serviceList":[{"name":"payouts","healthPath":"/health","maxConns":72,"protocol":"h1","tls":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// The doses of the disruption: those of `garble` with how = "extra late" in the site file qurum-gateway.
const (
	extraServers = 3    // of 5 runners: share 0.6
	extraShare   = 0.03 // x: of the answers
	extraFor     = 5 * time.Second
	extraRounds  = 4 // the disruption comes again, as a day may have it
	roundPause   = 5 * time.Second
)

// payRunner is the stand-in of a runner of an API service, on raw connections. It works on `slots`
// requests at once, queues two more, and turns away others with 503 and X-Tealpond-Not-Run. All its
// answers bear the X-Tealpond-Attempt-Id of the request that they answer.
type payRunner struct {
	id, address string
	slots       chan struct{}
	queued      atomic.Int64
	extra       atomic.Bool // one extra answer may arrive late, in the place of the next one
	answers     atomic.Int64
	extras      atomic.Int64
	payments    *payments
}

// payments records what the runners ran and what the clients were answered, by attempt.
type payments struct {
	r        *run
	mu       sync.Mutex
	runs     map[string][]string // runners that began to run the attempt
	answered map[string]int
}

func (p *payments) ran(attempt, runner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[attempt] = append(p.runs[attempt], runner)
}

func (s *payRunner) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var late []byte // the extra copy of an earlier answer on this connection
	var lateOf string
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // idle connections are closed after a time
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		attempt := request.Header.Get("X-Tealpond-Attempt-Id")
		if late != nil {
			s.payments.r.note("%s: the extra answer to %s arrives late, in the place of that to %s", s.id, lateOf, attempt)
			_, _ = conn.Write(late)
			late = nil
		}
		text := s.answer(request, attempt)
		s.answers.Add(1)
		if s.extra.Load() && rand.Float64() < extraShare {
			s.extras.Add(1)
			late, lateOf = text, attempt
		}
		if _, err := conn.Write(text); err != nil {
			return
		}
	}
}

// answer handles one request and returns the answer.
func (s *payRunner) answer(request *http.Request, attempt string) []byte {
	switch {
	case request.Header.Get("X-Tealpond-Target-Runner") != s.id:
		return format(421, "Misdirected Request", attempt, "X-Tealpond-Runner-Id: "+s.id+"\r\nX-Tealpond-Not-Run: 1\r\n", "")
	case s.queued.Add(1) > int64(cap(s.slots))+2:
		s.queued.Add(-1)
		return format(503, "Service Unavailable", attempt, "X-Tealpond-Not-Run: 1\r\n", "")
	}
	defer s.queued.Add(-1)
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.payments.ran(attempt, s.id)
	time.Sleep(20 * time.Millisecond)
	return format(200, "OK", attempt, "X-Tealpond-Runner-Seal: "+s.id+"\r\n", "paid "+attempt)
}

func format(status int, reason, attempt, headers, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nX-Tealpond-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, reason, attempt, headers, len(body), body)
}

// startPlatform serves the platform's list of the runners.
func (r *run) startPlatform(address string, runners []*payRunner) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return cannotRun("listen for the platform: %v", err)
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		list := []map[string]any{}
		for _, s := range runners {
			list = append(list, map[string]any{"id": s.id, "targetService": "payouts", "address": s.address, "zone": "z0",
				"configVersion": "v1", "slots": cap(s.slots), "state": "ready", "coldLeftMs": 0})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instanceList": list, "nextToken": nil})
	})}
	go func() { _ = server.Serve(socket) }()
	r.cleanups = append(r.cleanups, func() { _ = server.Close() })
	return nil
}

func extraAnswer(r *run) (string, error) {
	book := &payments{r: r, runs: map[string][]string{}, answered: map[string]int{}}
	var runners []*payRunner
	for i := range 5 {
		s := &payRunner{id: fmt.Sprintf("i-%02d", i+1), address: net.JoinHostPort(r.subnet.Host(150+i), "18080"), slots: make(chan struct{}, 2), payments: book}
		socket, err := net.Listen("tcp", s.address)
		if err != nil {
			return "", cannotRun("listen for a runner: %v", err)
		}
		go func() {
			for {
				conn, err := socket.Accept()
				if err != nil {
					return
				}
				go s.serve(conn)
			}
		}()
		r.cleanups = append(r.cleanups, func() { _ = socket.Close() })
		runners = append(runners, s)
	}
	platform := net.JoinHostPort(r.subnet.Host(250), "18100")
	if err := r.startPlatform(platform, runners); err != nil {
		return "", err
	}
	file := settings.File{
		HeartbeatIntervalMs: 1500, Deployment: "api", Discovery: "cloud_api", Zones: map[string]string{"z0": "muscat"},
		Contracts: []string{"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "pressure"},
		Limits:    settings.Limits{CPUShare: 0.4, MemoryMB: 184, MaxFileDescriptors: 4100, DiskMB: 64},
		Tolerance: settings.Tolerance{LostMachines: 1},
		Platform:  settings.Platform{Address: platform, RatePerS: 19, MaxLagMs: 800},
		Bounds: settings.Bounds{InTouchMs: 3000, GraceS: 6, ConfigApplyMs: 2000, DrainMs: 2500, RetryRatio: 0.2,
			RetryWindowS: 10, RetrySlack: 230},
	}
	if err := r.startCluster(localcluster.Options{Role: "gateway", Servers: 3, Zones: 1, Settings: file}); err != nil {
		return "", err
	}
	if err := r.configure(1, gatewayConfiguration); err != nil {
		return "", err
	}
	if err := await("the gateways becoming ready", 30*time.Second, func() bool { return r.ready(1, 3) }); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for client := range 24 {
		clients.Go(func() { book.client(client, stop) })
	}
	for range extraRounds {
		time.Sleep(roundPause)
		for _, s := range runners[:extraServers] {
			s.extra.Store(r.trouble)
		}
		time.Sleep(extraFor)
		for _, s := range runners {
			s.extra.Store(false)
		}
	}
	close(stop)
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	return book.judge(runners), nil
}

// client pays again and again. Each try has an attempt ID of its own, and none is sent again.
func (p *payments) client(number int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		attempt := fmt.Sprintf("%04x%012x", number, n)
		address := p.r.daemon(1 + rand.IntN(3)).ClientAddress()
		a := call("POST", address, "pay.example", "/pay/"+attempt, `{"prize":1}`, 4*time.Second,
			map[string]string{"X-Tealpond-Attempt-Id": attempt, "X-Tealpond-Time-Left": "4000"})
		p.mu.Lock()
		p.answered[attempt] = a.status
		p.mu.Unlock()
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
	}
}

// judge returns what broke the rule.
func (p *payments) judge(runners []*payRunner) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	statuses, twice, promised := map[int]int{}, 0, 0
	for attempt, status := range p.answered {
		statuses[status]++
		if ran := p.runs[attempt]; len(ran) > 1 {
			twice++
			p.r.note("attempt %s ran on %v; its client was answered %d", attempt, ran, status)
		} else if len(ran) == 1 && (status == 503 || status == 429) {
			promised++
			p.r.note("attempt %s ran on %v; its client was answered %d, the promise that it never runs", attempt, ran, status)
		}
	}
	answers, extras := int64(0), int64(0)
	for _, s := range runners {
		answers, extras = answers+s.answers.Load(), extras+s.extras.Load()
	}
	p.r.note("%d tries, answered %v; %d answers of runners, %d of them with an extra copy", len(p.answered), statuses, answers, extras)
	if twice+promised == 0 {
		return ""
	}
	return fmt.Sprintf("%d writing tries ran on two runners, and %d ran although their client got a 503", twice, promised)
}
