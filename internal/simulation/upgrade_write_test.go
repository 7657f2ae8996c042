package simulation

import (
	"compress/gzip"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/server"
)

// earlyJobs end, or are begun, before the snapshot of the data folders.
func earlyJobs() []upgradeJob {
	begin := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC) // where the tests' clock starts
	timed := newJob(300, 500, 1)
	timed.PeriodicInstances, timed.FirstRunMs, timed.IntervalMs = 3, begin.Add(20*time.Second).UnixMilli(), 90_000
	failing := newJob(200, 500, 1)
	failing.Spec += " fail=3"
	jobs := []upgradeJob{
		{"/p/", jobID(0), timed, "done"},
		{"/p/", jobID(1), newJob(300, 500, 2), "done"},
		{"/p/", jobID(2), failing, "failed"},
		{"/p/", jobID(3), newJobOf(300, 500, protocol.Step{TaskCount: 2, CPUUnits: 500, MemoryMB: 10, EstimateMs: 300},
			protocol.Step{TaskCount: 1, CPUUnits: 500, MemoryMB: 10, EstimateMs: 300, DependsOn: []int{0}}), "done"},
		{"/p/", jobID(4), newJobOf(300, 500, protocol.Step{TaskCount: 1, CPUUnits: 500, MemoryMB: 10, EstimateMs: 300, Speculative: true}), "done"},
	}
	return append(jobs, crowdJobs(10, 8, 6*time.Second, 3)...)
}

// crowdJobs returns jobs that fill the source, some of them waiting, and deferrable
// ones that therefore move to the other cluster.
func crowdJobs(first, count int, length time.Duration, deferrable int) []upgradeJob {
	var jobs []upgradeJob
	for i := range count {
		jobs = append(jobs, upgradeJob{"/p/", jobID(first + i), newJob(int(length.Milliseconds()), 4000, 1), "done"})
	}
	for i := range deferrable {
		jobs = append(jobs, upgradeJob{"/slow/", jobID(first + 10 + i), newJob(4000, 2000, 2), "done"})
	}
	return jobs
}

// lateJobs are running, waiting or on their way to the other cluster when the
// daemons end.
func lateJobs() []upgradeJob {
	gang := protocol.Step{TaskCount: 2, CPUUnits: 1000, MemoryMB: 10, EstimateMs: 60_000, Gang: true}
	withGPU := protocol.Step{TaskCount: 1, CPUUnits: 1000, MemoryMB: 10, GPUs: 1, EstimateMs: 60_000}
	jobs := []upgradeJob{
		{"/p/", jobID(40), newJobOf(60_000, 1000, gang), "done"},
		{"/p/", jobID(41), newJobOf(60_000, 1000, withGPU), "done"},
	}
	return append(jobs, crowdJobs(50, 5, 15*time.Second, 4)...)
}

// firstRecords are the numbers of the first of the jobs that make a record of
// demand, on which others move: before the early and before the late jobs. The
// target has as many, from targetRecords on.
var firstRecords = []int{1000, 1100}

const (
	recordCount   = 12
	targetRecords = 1000
)

// recordJobs make a record of demand.
func recordJobs(first int) []upgradeJob {
	var jobs []upgradeJob
	for i := range recordCount {
		jobs = append(jobs, upgradeJob{"/p/", jobID(first + i), newJob(50, 100, 1), "done"})
	}
	return jobs
}

// recordDemand submits what makes a record of demand, at both clusters.
func (p upgradePair) recordDemand(first int) {
	for i, record := range recordJobs(first) {
		p.submitAll([]upgradeJob{record}, 250*time.Millisecond)
		p.target.SubmitJob(jobID(first+targetRecords+i), record.body)
		time.Sleep(250 * time.Millisecond)
	}
}

// canceledJob is canceled while it runs.
func canceledJob() upgradeJob {
	return upgradeJob{"/p/", jobID(7), newJob(20_000, 500, 1), "called_off"}
}

// upgradeJobs are all jobs of the source.
func upgradeJobs() []upgradeJob {
	var jobs []upgradeJob
	for _, first := range firstRecords {
		jobs = append(jobs, recordJobs(first)...)
	}
	jobs = append(append(jobs, earlyJobs()...), canceledJob())
	return append(jobs, lateJobs()...)
}

// submitAll submits jobs at the source, a pause apart.
func (p upgradePair) submitAll(jobs []upgradeJob, pause time.Duration) {
	p.source.T.Helper()
	for _, submitted := range jobs {
		if !p.source.SubmitJobUnder(submitted.pathPrefix, submitted.id, submitted.body) {
			p.source.T.Fatalf("job %s is not accepted", submitted.id)
		}
		time.Sleep(pause)
	}
}

// writeUpgradeFolders plays two clusters and writes, into a new folder, the data
// folders of their servers, the tables as text, and what was seen.
func writeUpgradeFolders(t *testing.T, folder string) {
	t.Helper()
	if _, err := os.Stat(folder); err == nil {
		t.Fatalf("%s is there already: data folders are written once", folder)
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		pair := newUpgradePair(t)
		defer pair.End()
		for _, c := range pair.each() {
			c.addMachines(true, c.Name+"edge-1", c.Name+"edge-2", c.Name+"edge-3")
			c.startAll()
			c.WaitUntil("the first configuration is taken", 20*time.Second, func() bool { return c.PutConfiguration(c.Name+"edge-1", 1, 0, slowRoute) == 200 })
		}
		source := pair.source
		time.Sleep(3 * time.Second)
		sendConfigurations(source)
		pair.recordDemand(firstRecords[0])
		pair.submitAll([]upgradeJob{canceledJob()}, time.Second)
		if code := source.CancelJob("a-edge-1", canceledJob().id); code != 200 {
			t.Fatalf("cancel: %d", code)
		}
		pair.submitAll(earlyJobs(), 100*time.Millisecond)
		time.Sleep(30 * time.Second)
		source.Runners["a-side-2"].Crash()
		time.Sleep(time.Second)
		replaceVoter(source, "a-edge-3")
		takeSnapshots(source)
		takeSnapshots(pair.target)
		pair.recordDemand(firstRecords[1])
		moved := source.onceLogged("status=taken")
		pair.submitAll(lateJobs(), 150*time.Millisecond)
		select {
		case <-moved:
		case <-time.After(20 * time.Second):
			t.Error("no job moved")
		}
		time.Sleep(300 * time.Millisecond)
		for _, c := range pair.each() {
			for _, name := range c.nodeNames("") {
				c.Kill(name)
			}
		}
		ended := time.Now()
		pair.End()
		time.Sleep(time.Minute) // until no run is under way any more
		for _, c := range pair.each() {
			for _, name := range c.Servers() {
				pack(t, filepath.Join(c.dir, name), filepath.Join(folder, name))
			}
		}
		writePast(t, folder, source.History, ended, 7)
	})
}

// sendConfigurations sends configurations of which some are accepted and some refused.
func sendConfigurations(c *Cluster) {
	c.T.Helper()
	for _, change := range []struct{ version, base, code int }{{2, 1, 200}, {5, 2, 200}, {6, 2, 412}, {90, 60, 412}, {7, 5, 200}} {
		more := slowRoute + routeJSON(fmt.Sprint("v", change.version))
		if code := c.PutConfiguration("a-edge-2", change.version, change.base, more); code != change.code {
			c.T.Fatalf("configuration %d on %d: %d, want %d", change.version, change.base, code, change.code)
		}
	}
}

// onceLogged returns a channel that is closed at the first line of a log that holds
// a mark.
func (c *Cluster) onceLogged(mark string) <-chan struct{} {
	logged := make(chan struct{})
	var once sync.Once
	see := func(line string) {
		if strings.Contains(line, mark) {
			once.Do(func() { close(logged) })
		}
	}
	c.onLog.Store(&see)
	return logged
}

// replaceVoter puts a new machine in the place of a server.
func replaceVoter(c *Cluster, old string) {
	c.AddServer("z")
	time.Sleep(3 * time.Second)
	c.Terminate(old)
	c.RemoveNode(old)
	c.SetSeeds(c.Servers()...)
	time.Sleep(catchUpBound)
}

// takeSnapshots makes the log grow until all servers have taken a snapshot.
func takeSnapshots(c *Cluster) {
	edges := c.nodeNames("edge")
	var calls sync.WaitGroup
	for caller := range 16 {
		calls.Go(func() {
			for c.AppliedIndex(edges[caller%len(edges)]) < server.SnapshotInterval {
				c.request("DELETE", "http://"+c.NodeIP(edges[caller%len(edges)])+":8161/p/"+jobID(800000+caller), "h", "", map[string]string{protocol.HeaderTimeLeft: "2000", protocol.HeaderAuthorization: authorization(keyOf(unboundTenant))})
			}
		})
	}
	calls.Wait()
	time.Sleep(time.Second)
}

// pack writes a machine's file, compressed, and its tables as text.
func pack(t *testing.T, data, to string) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(data, "tealpond.db"))
	if err != nil {
		t.Fatal(err)
	}
	file, err := os.Create(to + ".db.gz")
	if err != nil {
		t.Fatal(err)
	}
	packed, err := gzip.NewWriterLevel(file, gzip.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := packed.Write(raw); err != nil {
		t.Fatal(err)
	}
	if err := packed.Close(); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	copied := t.TempDir()
	unpack(t, to+".db.gz", copied)
	if err := os.WriteFile(to+".txt", []byte(describe(t, copied)), 0o644); err != nil {
		t.Fatal(err)
	}
}

// past is what was seen before the daemons ended.
type past struct {
	ended   time.Time
	version int // of the configuration in force
	// incarnations are the numbers of the newest ones of the runners, by node.
	incarnations map[string]int
}

// pastFile holds, in lines of columns parted by tabs: when the daemons ended,
// what happened to runs, and which configurations were sent.
const pastFile = "past.txt"

// pastKinds are the words of that file for the kinds of events.
var pastKinds = map[string]EventKind{
	"start": EventRunStarted,
	"end":   EventRunEnded,
	"note":  EventAcknowledged,
	"lapse": EventLeaseExpired,
	"life":  EventCrashed,
}

// writePast writes what was seen.
func writePast(t *testing.T, folder string, history *History, ended time.Time, version int) {
	t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, "ended\t%d\t%d\n", ended.UnixMilli(), version)
	for _, event := range history.Events {
		for word, kind := range pastKinds {
			if event.Kind == kind {
				fmt.Fprintf(&text, "run\t%s\t%s\t%s\t%s\t%d\t%s\t%d\t%s\n", word, event.Node, event.Incarnation, event.Task, event.Run, event.Outcome, event.Completion, event.JobSpec)
			}
		}
	}
	for _, call := range history.Calls {
		if call.Kind == CallReplace && (call.Code == 200 || call.isFinalRefusal()) {
			fmt.Fprintf(&text, "configuration\t%d\t%d\t%d\t%s\n", call.Version, call.Base, call.Code, call.Text)
		}
	}
	if err := os.WriteFile(filepath.Join(folder, pastFile), []byte(text.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// readPast fills a history with what was seen and with the jobs. The runs that
// were under way ended with their machines.
func readPast(t *testing.T, folder string, history *History) past {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(folder, pastFile))
	if err != nil {
		t.Fatal(err)
	}
	number := func(text string) int {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	seen := past{incarnations: map[string]int{}}
	running := map[runKey]Event{}
	for line := range strings.Lines(string(raw)) {
		switch cell := strings.Split(strings.TrimSuffix(line, "\n"), "\t"); cell[0] {
		case "ended":
			seen.ended, seen.version = time.UnixMilli(int64(number(cell[1]))), number(cell[2])
		case "run":
			event := Event{Kind: pastKinds[cell[1]], Node: cell[2], Incarnation: cell[3], Task: cell[4], Run: number(cell[5]), Outcome: cell[6], Completion: int64(number(cell[7])), JobSpec: cell[8]}
			history.record(event)
			seen.incarnations[event.Node] = max(seen.incarnations[event.Node], 1)
			switch key := (runKey{event.Incarnation, event.Task, event.Run}); event.Kind {
			case EventRunStarted:
				running[key] = event
			case EventRunEnded:
				delete(running, key)
			case EventCrashed:
				seen.incarnations[event.Node]++
			}
		case "configuration":
			history.recordCall(Call{Kind: CallReplace, Version: int64(number(cell[1])), Base: int64(number(cell[2])), Code: number(cell[3]), Text: cell[4],
				Sent: time.Now(), Done: time.Now()})
		}
	}
	for _, event := range running {
		history.record(Event{Kind: EventRunEnded, Node: event.Node, Incarnation: event.Incarnation, Task: event.Task, Run: event.Run, Outcome: runCrashed})
	}
	for _, submitted := range upgradeJobs() {
		known := &SubmittedJob{JobSpec: submitted.body.Spec, MaxAttempts: 3, Accepted: true, CancelRequested: submitted.finalState == "called_off"}
		for _, step := range submitted.body.Steps {
			known.TaskCounts, known.Dependencies = append(known.TaskCounts, step.TaskCount), append(known.Dependencies, step.DependsOn)
			known.AllowsCopies = known.AllowsCopies || step.Speculative
		}
		history.Jobs[submitted.id] = known
	}
	for _, first := range firstRecords {
		for _, record := range recordJobs(first + targetRecords) {
			history.Jobs[record.id] = &SubmittedJob{JobSpec: record.body.Spec, Accepted: true}
		}
	}
	return seen
}
