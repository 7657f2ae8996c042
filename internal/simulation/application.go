package simulation

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"tealpond/internal/protocol"
)

// Applications use the cluster's locks, numbers, keys and watches, and record the responses
// for checkCoordination.

// applicationTimeout is how long an application waits for a response before it tries another
// node.
const applicationTimeout = time.Second

// LockHold is a period in which a caller believed that it held a lock.
type LockHold struct {
	Lock, Holder string
	Fence        int64
	RequestedAt  time.Time // when the call that returned the fence was sent
	From, Until  time.Time
}

// IssuedNumber is a number that a caller received.
type IssuedNumber struct {
	Name       string
	Value      int64
	Sent, Done time.Time
}

// KeyCall is a put or a read of a key.
type KeyCall struct {
	Key        string
	Put        bool
	Value      string // put or read
	Expected   int64
	Revision   int64 // in the response; for a refused put, the key's current revision
	Code       int   // 200, 404 for a read, 412 for a put; 503 if all attempts were refused; otherwise 0
	Sent, Done time.Time
}

// WatchCall is one call of a watch, with its response.
type WatchCall struct {
	Group      string
	After      int64
	Code       int
	Response   protocol.WatchResponse
	Sent, Done time.Time
}

// CoordinationHistory records the responses that all applications received. Its methods are
// safe for concurrent use.
type CoordinationHistory struct {
	mu      sync.Mutex
	Holds   []*LockHold
	Numbers []IssuedNumber
	Keys    []KeyCall
	Watches []WatchCall
}

// update applies a change to the history while holding its lock.
func (h *CoordinationHistory) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// Application is a simulated client of locks, numbers, keys and watches.
type Application struct {
	Name    string
	cluster *Cluster
	history *CoordinationHistory
	random  *rand.Rand
	client  *http.Client
	// PutTimeout is how long a put is retried while its outcome is unknown.
	PutTimeout time.Duration
	// OnAnswer is called after each change that is answered with status 200.
	OnAnswer func()
	putCount int
}

// NewApplication returns an application that records its calls in history.
func (c *Cluster) NewApplication(name string, seed int64, history *CoordinationHistory) *Application {
	return &Application{Name: name, cluster: c, history: history, random: rand.New(rand.NewSource(seed)), PutTimeout: 6 * time.Second, OnAnswer: func() {},
		client: &http.Client{Transport: &http.Transport{DialContext: c.Network.Host(c.hostIP(clientHost)).DialContext}}}
}

// Close closes the application's idle connections.
func (a *Application) Close() { a.client.CloseIdleConnections() }

// call makes one call to a random node and returns the status code. It decodes the response
// body into answer if the status is 200 or 412.
func (a *Application) call(timeout time.Duration, method, path string, body, answer any) int {
	edges := a.cluster.nodeNames(edgeRole)
	node := edges[a.random.Intn(len(edges))]
	code, raw, _ := a.cluster.requestFrom(a.client, timeout, method, a.cluster.nodeURL(node, controlPort, path), "", body, nil)
	if code == http.StatusOK || code == http.StatusPreconditionFailed {
		if err := json.Unmarshal(raw, answer); err != nil {
			a.cluster.T.Errorf("%s %s at %s: %v", method, path, node, err)
		}
		if code == http.StatusOK && method == http.MethodPost {
			a.OnAnswer()
		}
	}
	return code
}

// Acquire tries once to acquire a lock. It returns nil if the lock was not granted, or if the
// grant came after the hold time had expired.
func (a *Application) Acquire(lock string, hold time.Duration) *LockHold {
	sent, grant := time.Now(), protocol.LockGrant{}
	code := a.call(applicationTimeout, http.MethodPost, "/-/Locks.Begin/"+lock, protocol.LockRequest{Holder: a.Name, HoldMs: hold.Milliseconds()}, &grant)
	if code != http.StatusOK || time.Since(sent) >= hold {
		return nil
	}
	held := &LockHold{Lock: lock, Holder: a.Name, Fence: grant.Fence, RequestedAt: sent, From: time.Now(), Until: sent.Add(hold)}
	a.history.update(func() { a.history.Holds = append(a.history.Holds, held) })
	return held
}

// Renew tries once to extend the hold, and reports whether the lock is still held. A response
// that arrives after the hold has expired is ignored.
func (a *Application) Renew(held *LockHold, hold time.Duration) bool {
	sent := time.Now()
	code := a.call(applicationTimeout, http.MethodPost, "/-/Locks.Heartbeat/"+held.Lock, protocol.LockRequest{Holder: a.Name, Fence: held.Fence, HoldMs: hold.Milliseconds()}, &struct{}{})
	now := time.Now()
	if code == http.StatusOK && now.Before(held.Until) {
		a.history.update(func() { held.Until = sent.Add(hold) })
	}
	return now.Before(held.Until) && code != http.StatusConflict
}

// Release releases a lock, with up to three attempts.
func (a *Application) Release(held *LockHold) {
	a.history.update(func() {
		if now := time.Now(); now.Before(held.Until) {
			held.Until = now
		}
	})
	for range 3 {
		if a.call(applicationTimeout, http.MethodPost, "/-/Locks.Finish/"+held.Lock, protocol.LockRequest{Holder: a.Name, Fence: held.Fence}, &struct{}{}) == http.StatusOK {
			return
		}
	}
}

// NextNumber requests a number once and reports whether it got one.
func (a *Application) NextNumber(name string) bool {
	sent, answer := time.Now(), protocol.NumberResponse{}
	if a.call(applicationTimeout, http.MethodPost, "/-/numbers/"+name, struct{}{}, &answer) != http.StatusOK {
		return false
	}
	a.history.update(func() {
		a.history.Numbers = append(a.history.Numbers, IssuedNumber{name, answer.Value, sent, time.Now()})
	})
	return true
}

// Put sets a key to a unique value if the key is at the expected revision, and retries until
// the outcome is known or PutTimeout has elapsed. It returns the key's revision afterwards, as far
// as is known.
func (a *Application) Put(key string, expected int64) int64 {
	a.putCount++
	call := KeyCall{Key: key, Put: true, Value: fmt.Sprintf("%s-%d", a.Name, a.putCount), Expected: expected, Sent: time.Now()}
	refusals, tries := 0, 0
	for end := call.Sent.Add(a.PutTimeout); call.Code == 0 && time.Now().Before(end); {
		var answer protocol.RevisionResponse
		tries++
		switch code := a.call(applicationTimeout, http.MethodPost, "/-/Cells.Replace/"+key, protocol.PutRequest{Value: call.Value, Expected: expected}, &answer); code {
		case http.StatusOK, http.StatusPreconditionFailed:
			call.Code, call.Revision = code, answer.Revision
			continue
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			refusals++
		}
		time.Sleep(100 * time.Millisecond)
	}
	if call.Code == 0 && refusals == tries {
		call.Code = http.StatusServiceUnavailable
	}
	call.Done = time.Now()
	a.history.update(func() { a.history.Keys = append(a.history.Keys, call) })
	if call.Code == 0 || call.Code == http.StatusServiceUnavailable {
		return expected
	}
	return call.Revision
}

// Read reads a key once and returns its revision. It returns false if the read was not
// answered with 200 or 404.
func (a *Application) Read(key string) (int64, bool) {
	call, answer := KeyCall{Key: key, Sent: time.Now()}, protocol.KeyResponse{}
	call.Code = a.call(applicationTimeout, http.MethodGet, "/-/Cells.Read/"+key, "", &answer)
	call.Value, call.Revision, call.Done = answer.Value, answer.Revision, time.Now()
	if call.Code != http.StatusOK && call.Code != http.StatusNotFound {
		return 0, false
	}
	a.history.update(func() { a.history.Keys = append(a.history.Keys, call) })
	return call.Revision, true
}

// Watch requests the puts of a group after a revision once, and returns the revision to resume
// from: 0 if the revision is no longer available. It returns false if the call failed.
func (a *Application) Watch(group string, after int64, wait time.Duration) (int64, bool) {
	answer := WatchCall{Group: group, After: after, Sent: time.Now()}
	path := fmt.Sprintf("/-/watch/%s?dependsOn=%d&waitMs=%d", group, after, wait.Milliseconds())
	answer.Code = a.call(wait+applicationTimeout, http.MethodGet, path, "", &answer.Response)
	answer.Done = time.Now()
	if answer.Code != http.StatusOK && answer.Code != http.StatusGone {
		return after, false
	}
	a.history.update(func() { a.history.Watches = append(a.history.Watches, answer) })
	if answer.Code == http.StatusGone {
		return 0, true
	}
	return answer.Response.Revision, true
}
