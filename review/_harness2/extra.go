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

const (
	payoutService  = "payouts"
	payoutHost     = "hulo84.example"
	payoutPrefix   = "/xapu221/"
	payoutRunners  = 4
	payoutClients  = 28
	payoutWork     = 100 * time.Millisecond
	payoutLoad     = 40 * time.Second
	payoutDeadline = 4000 // ms
	// Doses of `garble` with how = "extra late": the share of the runners and of their answers. The largest
	// in qurum-gateway.toml are 0.6 and 0.03.
	garbledRunners = 2 // of payoutRunners, a share of 0.5
	garbledAnswers = 0.03
	// The trouble lasts garbledFor, the for_s of that entry, and comes again every garbledEvery.
	garbledFor   = 5 * time.Second
	garbledEvery = 7 * time.Second
	runnerSlots  = 2
	runnerQueue  = 4
	platformPort = 18100
	payoutPort   = 18080
	platformHost = 250
	firstRunner  = 150
)

// payoutRunner is a runner of requests. It works on runnerSlots requests at once, queues runnerQueue more
// and turns the rest away. A garbled one now and then sends a second copy of an answer late, in the
// place of the next answer on the same connection.
type payoutRunner struct {
	c       *casePlay
	id      string
	address string
	garbled bool
	slots   chan struct{}
	present atomic.Int64
	runs    *runCounts
	extras  atomic.Int64
	sheds   atomic.Int64
}

// runCounts counts the runs of each try of a client.
type runCounts struct {
	mu   sync.Mutex
	runs map[string][]string // by attempt ID: the runners
}

func (r *runCounts) add(attempt, runner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[attempt] = append(r.runs[attempt], runner)
}

// serve accepts connections until the listener is closed.
func (r *payoutRunner) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn)
	}
}

// answerText returns the bytes of an answer.
func answerText(status, attempt, extraHeader, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Tealpond-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, attempt, extraHeader, len(body), body)
}

// serveConn serves one request after the other on a connection.
func (r *payoutRunner) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	late := "" // second copy of the last answer
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		attempt := request.Header.Get("X-Tealpond-Attempt-Id")
		if late != "" {
			r.extras.Add(1)
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		answer := r.handle(request, attempt)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if r.garbled && r.c.isGarbling() && rand.Float64() < garbledAnswers {
			late = answer
		}
	}
}

// isGarbling reports whether the trouble is on.
func (c *casePlay) isGarbling() bool {
	return c.trouble && time.Since(c.startedAt)%garbledEvery < garbledFor
}

// handle runs a request or turns it away, and returns the answer.
func (r *payoutRunner) handle(request *http.Request, attempt string) string {
	if request.Header.Get("X-Tealpond-Target-Runner") != r.id {
		return answerText("421 Misdirected Request", attempt, "X-Tealpond-Runner-Id: "+r.id+"\r\n", "")
	}
	if r.present.Add(1) > runnerSlots+runnerQueue {
		r.present.Add(-1)
		r.sheds.Add(1)
		return answerText("503 Service Unavailable", attempt, "X-Tealpond-Not-Run: 1\r\n", "")
	}
	defer r.present.Add(-1)
	r.slots <- struct{}{}
	defer func() { <-r.slots }()
	r.runs.add(attempt, r.id)
	time.Sleep(payoutWork)
	return answerText("200 OK", attempt, "X-Tealpond-Runner-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", "paid")
}

// serveList serves the platform's list of runners on one page.
func serveList(runners []*payoutRunner) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		list := []map[string]any{}
		for _, r := range runners {
			list = append(list, map[string]any{"id": r.id, "targetService": payoutService, "address": r.address, "zone": "z0",
				"configVersion": "v1", "slots": runnerSlots, "state": "ready", "coldLeftMs": 0})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instanceList": list, "nextToken": nil}) // the caller may have gone
	})
}

// playExtraAnswer has clients send requests of kind `writing` through a gateway, while some runners now
// and then send a second copy of an answer in the place of the next one. No try may run twice.
func playExtraAnswer(c *casePlay) (bool, error) {
	counts := &runCounts{runs: map[string][]string{}}
	var runners []*payoutRunner
	bounds := baseBounds()
	bounds.RetryRatio, bounds.RetryWindowS, bounds.RetrySlack, bounds.InTouchMs = 0.2, 10, 230, 3000
	file := settings.File{
		Zones: map[string]string{"z0": "muscat"}, Discovery: settings.DiscoveryPlatform, Deployment: settings.DeploymentAPI,
		Contracts:           []string{"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "pressure"},
		Limits:              settings.Limits{CPUShare: 0.4, MemoryMB: 184, MaxFileDescriptors: 4100, DiskMB: 64},
		Tolerance:           settings.Tolerance{LostMachines: 1},
		Bounds:              bounds,
		HeartbeatIntervalMs: 1500,
	}
	subnet := freeSubnet()
	for i := range payoutRunners {
		r := &payoutRunner{c: c, id: fmt.Sprintf("i-7f3a91c%d", i), address: net.JoinHostPort(subnet.Host(firstRunner+i), fmt.Sprint(payoutPort)),
			garbled: i < garbledRunners, slots: make(chan struct{}, runnerSlots), runs: counts}
		listener, err := listen(r.address)
		if err != nil {
			return false, fmt.Errorf("%w: %w", errNotRun, err)
		}
		defer func() { _ = listener.Close() }()
		go r.serve(listener)
		runners = append(runners, r)
	}
	platformAddress := net.JoinHostPort(subnet.Host(platformHost), fmt.Sprint(platformPort))
	listener, err := listen(platformAddress)
	if err != nil {
		return false, fmt.Errorf("%w: %w", errNotRun, err)
	}
	platform := &http.Server{Handler: serveList(runners), ReadHeaderTimeout: time.Second}
	go func() { _ = platform.Serve(listener) }() // until it is closed
	defer func() { _ = platform.Close() }()
	file.Platform = settings.Platform{Address: platformAddress, RatePerS: 19, MaxLagMs: 800}
	if err := c.startCluster(localcluster.Options{Role: "gateway", Servers: 3, Proxies: 1, Zones: 1, Settings: file}); err != nil {
		return false, err
	}
	if err := c.configurePayouts(); err != nil {
		return false, err
	}
	if err := c.awaitReady(c.cluster.Names(), 30*time.Second); err != nil {
		return false, err
	}
	c.printf("%d runners, %d of them send %.0f in 100 answers twice: %v", payoutRunners, garbledRunners, 100*garbledAnswers, c.trouble)
	answers := c.sendPayouts()
	c.pause(2 * time.Second)
	return c.checkPayouts(counts, runners, answers)
}

// configurePayouts sends the first configuration until it is taken.
func (c *casePlay) configurePayouts() error {
	config := map[string]any{
		"configVersion": 7,
		"routeList": []map[string]any{{"name": "r-dnn2ctn", "hostName": payoutHost, "pathPrefix": payoutPrefix, "kind": "writing",
			"timeoutMs": 4000, "targetMs": 800, "priority": 1, "targetService": payoutService, "maxTries": 2}},
		"serviceList": []map[string]any{{"name": payoutService, "healthPath": "/health", "maxConns": 72, "protocol": "h1", "tls": false}},
		"limits":      map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	return c.await("the configuration to be taken", 40*time.Second, func() bool {
		status, _ := c.call(time.Second, http.MethodPost, "http://"+c.daemon(c.cluster.Names()[0]).ControlAddress()+"/-/Config.Replace",
			map[string]string{"X-Tealpond-Based-On": "0"}, config)
		return status == http.StatusOK
	})
}

// sendPayouts has all clients send requests for payoutLoad, each on connections that it keeps, and returns the
// status of each try.
func (c *casePlay) sendPayouts() map[string]int {
	answers, mu := map[string]int{}, sync.Mutex{}
	var clients sync.WaitGroup
	until := time.Now().Add(payoutLoad)
	for i := range payoutClients {
		name := c.cluster.Names()[i%len(c.cluster.Names())]
		client := &http.Client{Transport: &http.Transport{}}
		clients.Go(func() {
			for n := 0; time.Now().Before(until) && c.ctx.Err() == nil; n++ {
				attempt := fmt.Sprintf("%08x%08x", i+1, n+1)
				status := c.sendPayout(client, name, attempt)
				mu.Lock()
				answers[attempt] = status
				mu.Unlock()
				if status != http.StatusOK {
					c.pause(150 * time.Millisecond) // Retry-After
				}
			}
		})
	}
	clients.Wait()
	return answers
}

// sendPayout makes one try and returns its status; 0 without an answer.
func (c *casePlay) sendPayout(client *http.Client, name, attempt string) int {
	request, err := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://"+c.daemon(name).ClientAddress()+payoutPrefix+"2f", nil)
	if err != nil {
		panic(err)
	}
	request.Host = payoutHost
	request.Header.Set("X-Tealpond-Attempt-Id", attempt)
	request.Header.Set("X-Tealpond-Time-Left", fmt.Sprint(payoutDeadline))
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// checkPayouts reports whether a try ran more than once.
func (c *casePlay) checkPayouts(counts *runCounts, runners []*payoutRunner, answers map[string]int) (bool, error) {
	byStatus := map[int]int{}
	for _, status := range answers {
		byStatus[status]++
	}
	c.printf("%d tries, by status: %v", len(answers), byStatus)
	for _, r := range runners {
		c.printf("%s: turned away %d, sent %d second answers", r.id, r.sheds.Load(), r.extras.Load())
	}
	counts.mu.Lock()
	defer counts.mu.Unlock()
	twice, afterPromise := 0, 0
	for attempt, at := range counts.runs {
		if len(at) > 1 {
			twice++
			c.printf("try %s, answered %d, ran %d times: %v", attempt, answers[attempt], len(at), at)
		}
		if answers[attempt] == http.StatusServiceUnavailable || answers[attempt] == http.StatusTooManyRequests {
			afterPromise++
			c.printf("try %s, answered %d, ran at %v", attempt, answers[attempt], at)
		}
	}
	c.printf("%d tries ran, %d of them more than once, %d although they were answered with the promise that they never run", len(counts.runs), twice, afterPromise)
	if byStatus[http.StatusOK] == 0 {
		return false, fmt.Errorf("%w: no try was answered with 200", errNotRun)
	}
	return twice+afterPromise > 0, nil
}
