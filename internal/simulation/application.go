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

// Applications call the cluster for locks, numbers, keys and watches, and record what they
// are told, for checkCoordination.

// applicationTimeout is the silence after which an application turns to another node.
const applicationTimeout = time.Second

// LockHold is a time in which a caller counted itself holder of a lock.
type LockHold struct {
	Lock, Holder string
	Fence        int64
	AskedAt      time.Time // when the call that brought the fence was sent
	From, Until  time.Time
}

// NumberGiven is a number that a caller got.
type NumberGiven struct {
	Name       string
	Value      int64
	Sent, Done time.Time
}

// KeyCall is a put or a read of a key.
type KeyCall struct {
	Key        string
	Put        bool
	Value      string // that was put, or read
	Expected   int64
	Revision   int64 // that was answered; of a refused put that of the key
	Code       int   // 200, 404 of a read, 412 of a put; 503 if each try got that; else 0
	Sent, Done time.Time
}

// WatchAnswer is what a watch was told.
type WatchAnswer struct {
	Group       string
	After       int64
	Code        int
	WatchResult protocol.WatchResponse
	Sent, Done  time.Time
}

// CoordinationHistory is what all applications were told. Its methods may be called by
// several goroutines.
type CoordinationHistory struct {
	mu      sync.Mutex
	Holds   []*LockHold
	Numbers []NumberGiven
	Keys    []KeyCall
	Watches []WatchAnswer
}

// note changes the history under its lock.
func (h *CoordinationHistory) note(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// Application is one caller.
type Application struct {
	Name    string
	cluster *Cluster
	history *CoordinationHistory
	random  *rand.Rand
	client  *http.Client
	// PutTime is for how long a put without a clear answer is sent again.
	PutTime time.Duration
	// OnAnswer is called after each answer with status 200 to a change.
	OnAnswer func()
	puts     int
}

// NewApplication makes a caller that records into a history.
func (c *Cluster) NewApplication(name string, seed int64, history *CoordinationHistory) *Application {
	return &Application{Name: name, cluster: c, history: history, random: rand.New(rand.NewSource(seed)), PutTime: 6 * time.Second, OnAnswer: func() {},
		client: &http.Client{Transport: &http.Transport{DialContext: c.Network.Host(c.hostIP(clientHost)).DialContext}}}
}

// Close closes the caller's connections.
func (a *Application) Close() { a.client.CloseIdleConnections() }

// call makes one call at any node; the answer's body is decoded if it has status 200 or 412.
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

// Acquire asks for a lock once; nil if it wasn't given.
func (a *Application) Acquire(lock string, hold time.Duration) *LockHold {
	sent, grant := time.Now(), protocol.LockGrant{}
	code := a.call(applicationTimeout, http.MethodPost, "/-/Locks.Begin/"+lock, protocol.LockRequest{Holder: a.Name, HoldMs: hold.Milliseconds()}, &grant)
	if code != http.StatusOK || time.Since(sent) >= hold {
		return nil
	}
	held := &LockHold{Lock: lock, Holder: a.Name, Fence: grant.Fence, AskedAt: sent, From: time.Now(), Until: sent.Add(hold)}
	a.history.note(func() { a.history.Holds = append(a.history.Holds, held) })
	return held
}

// Renew asks for more time once. An answer that comes when the time is over counts for
// nothing. It reports whether the lock is still held.
func (a *Application) Renew(held *LockHold, hold time.Duration) bool {
	sent := time.Now()
	code := a.call(applicationTimeout, http.MethodPost, "/-/Locks.Heartbeat/"+held.Lock, protocol.LockRequest{Holder: a.Name, Fence: held.Fence, HoldMs: hold.Milliseconds()}, &struct{}{})
	now := time.Now()
	if code == http.StatusOK && now.Before(held.Until) {
		a.history.note(func() { held.Until = sent.Add(hold) })
	}
	return now.Before(held.Until) && code != http.StatusConflict
}

// Release gives a lock back.
func (a *Application) Release(held *LockHold) {
	a.history.note(func() {
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

// Number asks for a number once.
func (a *Application) Number(name string) bool {
	sent, answer := time.Now(), protocol.NumberResponse{}
	if a.call(applicationTimeout, http.MethodPost, "/-/numbers/"+name, struct{}{}, &answer) != http.StatusOK {
		return false
	}
	a.history.note(func() {
		a.history.Numbers = append(a.history.Numbers, NumberGiven{name, answer.Value, sent, time.Now()})
	})
	return true
}

// Put sets a key to a value of its own, if it is at a revision, and sends it again until
// the answer is clear. It gives the revision that the key then has, as far as is known.
func (a *Application) Put(key string, expected int64) int64 {
	a.puts++
	call := KeyCall{Key: key, Put: true, Value: fmt.Sprintf("%s-%d", a.Name, a.puts), Expected: expected, Sent: time.Now()}
	refusals, tries := 0, 0
	for end := call.Sent.Add(a.PutTime); call.Code == 0 && time.Now().Before(end); {
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
	a.history.note(func() { a.history.Keys = append(a.history.Keys, call) })
	if call.Code == 0 || call.Code == http.StatusServiceUnavailable {
		return expected
	}
	return call.Revision
}

// Read reads a key once; false if there was no answer.
func (a *Application) Read(key string) (int64, bool) {
	call, answer := KeyCall{Key: key, Sent: time.Now()}, protocol.KeyResponse{}
	call.Code = a.call(applicationTimeout, http.MethodGet, "/-/Cells.Read/"+key, "", &answer)
	call.Value, call.Revision, call.Done = answer.Value, answer.Revision, time.Now()
	if call.Code != http.StatusOK && call.Code != http.StatusNotFound {
		return 0, false
	}
	a.history.note(func() { a.history.Keys = append(a.history.Keys, call) })
	return call.Revision, true
}

// Watch asks once for the puts of a group after a revision, and gives the revision from
// which to go on.
func (a *Application) Watch(group string, after int64, wait time.Duration) (int64, bool) {
	answer := WatchAnswer{Group: group, After: after, Sent: time.Now()}
	path := fmt.Sprintf("/-/watch/%s?dependsOn=%d&waitMs=%d", group, after, wait.Milliseconds())
	answer.Code = a.call(wait+applicationTimeout, http.MethodGet, path, "", &answer.WatchResult)
	answer.Done = time.Now()
	if answer.Code != http.StatusOK && answer.Code != http.StatusGone {
		return after, false
	}
	a.history.note(func() { a.history.Watches = append(a.history.Watches, answer) })
	if answer.Code == http.StatusGone {
		return 0, true
	}
	return answer.WatchResult.Revision, true
}
