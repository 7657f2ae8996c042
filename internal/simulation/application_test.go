package simulation

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// watchHistoryLength and abandonedLockTimeout are the operators' bounds historyS and freeAfterMs.
	watchHistoryLength   = 20 * time.Second
	abandonedLockTimeout = 1500 * time.Millisecond
	lockHold             = 2500 * time.Millisecond
)

// applicationLoad runs applications in a cluster until it is stopped.
type applicationLoad struct {
	*scenario
	history  *CoordinationHistory
	ended    chan struct{}
	callers  sync.WaitGroup
	watches  sync.Map   // by group, the revision to resume from
	mu       sync.Mutex // guards onAnswer
	onAnswer func()     // set by tests; called after each acknowledged change
}

// startApplications starts four users of locks, four users of keys and numbers, and a watcher of
// each of two groups.
func startApplications(s *scenario) *applicationLoad {
	l := &applicationLoad{scenario: s, history: &CoordinationHistory{}, ended: make(chan struct{})}
	for i := range 4 {
		locks, keys := l.newCaller(fmt.Sprint("a", i), int64(10+i)), l.newCaller(fmt.Sprint("b", i), int64(20+i))
		l.callers.Go(func() { defer locks.Close(); l.useLocks(locks) })
		l.callers.Go(func() { defer keys.Close(); l.useKeys(keys) })
	}
	for _, group := range []string{"g0.", "g1."} {
		watcher := l.newCaller("w-"+group, 30)
		l.callers.Go(func() { defer watcher.Close(); l.watch(watcher, group) })
	}
	return l
}

// newCaller returns an application that calls onAnswer after each acknowledged change.
func (l *applicationLoad) newCaller(name string, seed int64) *Application {
	caller := l.NewApplication(name, seed, l.history)
	caller.OnAnswer = func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.onAnswer != nil {
			l.onAnswer()
		}
	}
	return caller
}

func (l *applicationLoad) running() bool {
	select {
	case <-l.ended:
		return false
	default:
		return true
	}
}

// useLocks acquires, renews and releases locks. It abandons some of them, and pauses beyond the
// hold time on others.
func (l *applicationLoad) useLocks(a *Application) {
	for l.running() {
		time.Sleep(time.Duration(20+a.random.Intn(200)) * time.Millisecond)
		held := a.Acquire(fmt.Sprint("lock", a.random.Intn(3)), lockHold)
		if held == nil {
			continue
		}
		for range a.random.Intn(4) {
			time.Sleep(time.Duration(200+a.random.Intn(900)) * time.Millisecond)
			if !a.Renew(held, lockHold) {
				break
			}
		}
		switch a.random.Intn(5) {
		case 0: // abandons the lock, and returns later under the same name
			time.Sleep(lockHold)
		case 1: // pauses until the hold has expired and then renews
			time.Sleep(lockHold + 300*time.Millisecond)
			a.Renew(held, lockHold)
		default:
			a.Release(held)
		}
	}
}

// useKeys puts and reads keys and requests numbers.
func (l *applicationLoad) useKeys(a *Application) {
	known := map[string]int64{}
	for l.running() {
		time.Sleep(time.Duration(20+a.random.Intn(150)) * time.Millisecond)
		key := fmt.Sprintf("g%d.k%d", a.random.Intn(2), a.random.Intn(2))
		switch a.random.Intn(4) {
		case 0:
			a.NextNumber("n")
		case 1:
			if revision, ok := a.Read(key); ok {
				known[key] = revision
			}
		default:
			known[key] = a.Put(key, known[key])
		}
	}
}

// watch watches a group and resumes after each response.
func (l *applicationLoad) watch(a *Application, group string) {
	after := int64(0)
	for l.running() {
		if next, ok := a.Watch(group, after, time.Second); ok {
			after = next
		} else {
			time.Sleep(50 * time.Millisecond)
		}
		l.watches.Store(group, after)
	}
}

// finish ends the load and requires that the state is intact: locks become free, numbers are
// issued, keys can be read, and watches resume from their last revision. Then it runs the
// checkers and shows at most ten violations.
func (l *applicationLoad) finish() {
	l.T.Helper()
	close(l.ended)
	l.callers.Wait()
	time.Sleep(contactBound)
	last := l.NewApplication("last", 99, l.history)
	defer last.Close()
	end := time.Now().Add(lockHold + abandonedLockTimeout)
	for lock := range 3 {
		for last.Acquire(fmt.Sprint("lock", lock), lockHold) == nil {
			if time.Now().After(end) {
				l.T.Errorf("lock%d is not free %v after all callers ended", lock, lockHold+abandonedLockTimeout)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	if !last.NextNumber("n") {
		l.T.Error("no number is issued at the end")
	}
	l.watches.Range(func(group, after any) bool {
		for key := range 2 {
			if _, ok := last.Read(fmt.Sprint(group, "k", key)); !ok {
				l.T.Errorf("%sk%d can't be read at the end", group, key)
			}
		}
		if _, ok := last.Watch(group.(string), after.(int64), 0); !ok {
			l.T.Errorf("the watch of %s doesn't resume at the end", group)
		}
		return true
	})
	for i, violation := range checkCoordination(l.history, watchHistoryLength) {
		if i < 10 {
			l.T.Error(violation)
		}
	}
	l.requireTraffic()
}

// requireTraffic requires that enough calls were served for the checks to be meaningful.
func (l *applicationLoad) requireTraffic() {
	l.T.Helper()
	puts := 0
	for _, call := range l.history.Keys {
		if call.Put && call.Code == http.StatusOK {
			puts++
		}
	}
	if len(l.history.Holds) < 15 || len(l.history.Numbers) < 15 || puts < 30 || len(l.history.Watches) < 15 {
		l.T.Errorf("only %d holds, %d numbers, %d puts and %d watch calls; want at least 15, 15, 30 and 15", len(l.history.Holds), len(l.history.Numbers), puts, len(l.history.Watches))
	}
}

// coordinationScenario is what happens while applications are running.
type coordinationScenario struct {
	name    string
	servers int
	action  func(l *applicationLoad)
}

// leaderFault injects a fault into the leader for a while.
func (l *applicationLoad) leaderFault(fault string, length time.Duration) {
	repair := l.InjectFault(l.Leader(), fault)
	time.Sleep(length)
	repair()
	time.Sleep(4 * time.Second)
}

// coordinationScenarios are the faults under which the operators' rules on locks, numbers,
// keys and watches must hold.
var coordinationScenarios = []coordinationScenario{
	{"calm", 3, func(*applicationLoad) { time.Sleep(12 * time.Second) }},
	{"leader frozen longer than all holds", 3, func(l *applicationLoad) {
		l.leaderFault(Frozen, 8*time.Second)
		l.leaderFault(Frozen, 700*time.Millisecond)
	}},
	{"leader isolated in one direction", 3, func(l *applicationLoad) {
		l.leaderFault(IsolateInbound, 5*time.Second)
		l.leaderFault(IsolateOutbound, 5*time.Second)
	}},
	{"leader in a minority", 5, func(l *applicationLoad) {
		leader := l.Leader()
		others := without(l.Servers(), leader)
		for _, other := range others[1:] {
			l.SetPartition(leader, true, other)
			l.SetPartition(others[0], true, other)
		}
		time.Sleep(6 * time.Second)
		for _, other := range others[1:] {
			l.SetPartition(leader, false, other)
			l.SetPartition(others[0], false, other)
		}
		time.Sleep(4 * time.Second)
	}},
	{"bridge of one server between two halves", 5, func(l *applicationLoad) {
		servers := l.Servers()
		for _, left := range servers[:2] {
			l.SetPartition(left, true, servers[3:]...)
		}
		time.Sleep(6 * time.Second)
		for _, left := range servers[:2] {
			l.SetPartition(left, false, servers[3:]...)
		}
		time.Sleep(4 * time.Second)
	}},
	{"all servers killed right after an answer", 3, func(l *applicationLoad) {
		for range 4 {
			l.afterAcknowledgement(func() { l.Restart(700*time.Millisecond, l.Servers()...) })
			time.Sleep(2500 * time.Millisecond)
		}
	}},
	{"leader killed right after an answer", 3, func(l *applicationLoad) {
		for range 5 {
			l.afterAcknowledgement(func() { l.Restart(1500*time.Millisecond, l.Leader()) })
			time.Sleep(1500 * time.Millisecond)
		}
	}},
	{"disks lost right after an answer", 5, func(l *applicationLoad) {
		for range 3 {
			l.afterAcknowledgement(func() {
				leader := l.Leader()
				for _, victim := range []string{leader, without(l.Servers(), leader)[1]} {
					l.Kill(victim)
					l.WipeDisk(victim)
				}
				time.Sleep(500 * time.Millisecond)
				for _, victim := range l.Servers() {
					select {
					case <-l.node(victim).done:
						l.Start(victim)
					default:
					}
				}
			})
			time.Sleep(8 * time.Second)
		}
	}},
	{"a server replaced by an empty one elsewhere", 3, func(l *applicationLoad) {
		for range 2 {
			l.replaceServer(l.Leader(), false)
			time.Sleep(7 * time.Second)
		}
	}},
	{"all stopped and started in turn", 3, func(l *applicationLoad) {
		for _, name := range l.nodeNames(edgeRole) {
			l.Terminate(name)
			time.Sleep(400 * time.Millisecond)
			l.Start(name)
			time.Sleep(2500 * time.Millisecond)
		}
	}},
	{"everything restarted after snapshots", 3, func(l *applicationLoad) {
		l.growLog(500, 8*time.Second)
		time.Sleep(8 * time.Second)
		l.Restart(2*time.Second, l.nodeNames("")...)
		time.Sleep(8 * time.Second)
	}},
}

// afterAcknowledgement runs action as soon as the next change of an application is acknowledged.
func (l *applicationLoad) afterAcknowledgement(action func()) {
	answered := make(chan struct{})
	var once sync.Once
	l.mu.Lock()
	l.onAnswer = func() { once.Do(func() { close(answered) }) }
	l.mu.Unlock()
	<-answered
	action()
}

// TestCoordinationUnderFaults checks that under each fault at most one caller holds a lock,
// fences, numbers and revisions increase, reads are not stale, refused puts are never visible,
// watches skip no put, and all acknowledged changes are kept.
func TestCoordinationUnderFaults(t *testing.T) {
	for _, action := range coordinationScenarios {
		t.Run(action.name, func(t *testing.T) {
			for _, seed := range testSeeds(1) {
				runScenario(t, ClusterSpec{Servers: action.servers, Edges: 2, Agents: 1, Debug: strings.Contains(action.name, "frozen")}, seed, func(s *scenario) {
					s.setWorkload(newJob(400, 400, 1), 2*time.Second)
					l := startApplications(s)
					time.Sleep(2 * time.Second)
					action.action(l)
					l.finish()
				})
			}
		})
	}
}
