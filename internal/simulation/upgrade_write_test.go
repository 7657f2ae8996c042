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

// jobsBeforeSnapshot returns jobs that end, or at least start, before the snapshot of
// the data folders.
func jobsBeforeSnapshot() []upgradeJob {
	begin := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC) // the start of the virtual clock
	periodic := newJob(300, 500, 1)
	periodic.PeriodicInstances, periodic.FirstRunMs, periodic.IntervalMs = 3, begin.Add(20*time.Second).UnixMilli(), 90_000
	failing := newJob(200, 500, 1)
	failing.Spec += " fail=3"
	jobs := []upgradeJob{
		{"/p/", jobID(0), periodic, "done"},
		{"/p/", jobID(1), newJob(300, 500, 2), "done"},
		{"/p/", jobID(2), failing, "failed"},
		{"/p/", jobID(3), newJobOf(300, 500, protocol.Step{TaskCount: 2, CPUUnits: 500, MemoryMB: 10, EstimateMs: 300},
			protocol.Step{TaskCount: 1, CPUUnits: 500, MemoryMB: 10, EstimateMs: 300, DependsOn: []int{0}}), "done"},
		{"/p/", jobID(4), newJobOf(300, 500, protocol.Step{TaskCount: 1, CPUUnits: 500, MemoryMB: 10, EstimateMs: 300, Speculative: true}), "done"},
	}
	return append(jobs, overloadJobs(10, 8, 6*time.Second, 3)...)
}

// overloadJobs returns jobs that overload the source, so that some of them wait, and
// deferrable jobs that are therefore transferred to the target.
func overloadJobs(first, count int, length time.Duration, deferrable int) []upgradeJob {
	var jobs []upgradeJob
	for i := range count {
		jobs = append(jobs, upgradeJob{"/p/", jobID(first + i), newJob(int(length.Milliseconds()), 4000, 1), "done"})
	}
	for i := range deferrable {
		jobs = append(jobs, upgradeJob{"/slow/", jobID(first + 10 + i), newJob(4000, 2000, 2), "done"})
	}
	return jobs
}

// jobsAtShutdown returns jobs that are running, waiting or in transfer to the target
// when the daemons are killed.
func jobsAtShutdown() []upgradeJob {
	gang := protocol.Step{TaskCount: 2, CPUUnits: 1000, MemoryMB: 10, EstimateMs: 60_000, Gang: true}
	withGPU := protocol.Step{TaskCount: 1, CPUUnits: 1000, MemoryMB: 10, GPUs: 1, EstimateMs: 60_000}
	jobs := []upgradeJob{
		{"/p/", jobID(40), newJobOf(60_000, 1000, gang), "done"},
		{"/p/", jobID(41), newJobOf(60_000, 1000, withGPU), "done"},
	}
	return append(jobs, overloadJobs(50, 5, 15*time.Second, 4)...)
}

// firstDemandJobs are the numbers of the first jobs of each series that builds a demand
// history, on which transfers are based: one series before the early jobs and one
// before the late ones. The target gets as many jobs, with numbers that are higher by
// targetDemandOffset.
var firstDemandJobs = []int{1000, 1100}

const (
	demandJobCount     = 12
	targetDemandOffset = 1000
)

// demandJobs returns a series of jobs that builds a demand history.
func demandJobs(first int) []upgradeJob {
	var jobs []upgradeJob
	for i := range demandJobCount {
		jobs = append(jobs, upgradeJob{"/p/", jobID(first + i), newJob(50, 100, 1), "done"})
	}
	return jobs
}

// recordDemand submits a series of demand jobs to both clusters.
func (p upgradePair) recordDemand(first int) {
	for i, record := range demandJobs(first) {
		p.submitAll([]upgradeJob{record}, 250*time.Millisecond)
		p.target.SubmitJob(jobID(first+targetDemandOffset+i), record.body)
		time.Sleep(250 * time.Millisecond)
	}
}

// canceledJob returns the job that is canceled while it runs.
func canceledJob() upgradeJob {
	return upgradeJob{"/p/", jobID(7), newJob(20_000, 500, 1), "called_off"}
}

// upgradeJobs returns all jobs of the source.
func upgradeJobs() []upgradeJob {
	var jobs []upgradeJob
	for _, first := range firstDemandJobs {
		jobs = append(jobs, demandJobs(first)...)
	}
	jobs = append(append(jobs, jobsBeforeSnapshot()...), canceledJob())
	return append(jobs, jobsAtShutdown()...)
}

// submitAll submits jobs to the source, with a pause after each.
func (p upgradePair) submitAll(jobs []upgradeJob, pause time.Duration) {
	p.source.T.Helper()
	for _, submitted := range jobs {
		if !p.source.SubmitJobUnder(submitted.pathPrefix, submitted.id, submitted.body) {
			p.source.T.Fatalf("job %s was not accepted", submitted.id)
		}
		time.Sleep(pause)
	}
}

// writeUpgradeFolders runs two clusters and writes, into a new directory, the data
// folders of their servers, the dumps of their tables, and the observed history.
func writeUpgradeFolders(t *testing.T, folder string) {
	t.Helper()
	if _, err := os.Stat(folder); err == nil {
		t.Fatalf("%s already exists: data folders are written only once", folder)
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
			c.WaitUntil("the first configuration is accepted", 20*time.Second, func() bool { return c.PutConfiguration(c.Name+"edge-1", 1, 0, deferrableRoute) == 200 })
		}
		source := pair.source
		time.Sleep(3 * time.Second)
		sendConfigurations(source)
		pair.recordDemand(firstDemandJobs[0])
		pair.submitAll([]upgradeJob{canceledJob()}, time.Second)
		if code := source.CancelJob("a-edge-1", canceledJob().id); code != 200 {
			t.Fatalf("cancel gets %d, want 200", code)
		}
		pair.submitAll(jobsBeforeSnapshot(), 100*time.Millisecond)
		time.Sleep(30 * time.Second)
		source.Runners["a-side-2"].Crash()
		time.Sleep(time.Second)
		replaceVoter(source, "a-edge-3")
		takeSnapshots(source)
		takeSnapshots(pair.target)
		pair.recordDemand(firstDemandJobs[1])
		transferred := source.onceLogged("status=taken")
		pair.submitAll(jobsAtShutdown(), 150*time.Millisecond)
		select {
		case <-transferred:
		case <-time.After(20 * time.Second):
			t.Error("no job was transferred within 20 s")
		}
		time.Sleep(300 * time.Millisecond)
		for _, c := range pair.each() {
			for _, name := range c.nodeNames("") {
				c.Kill(name)
			}
		}
		killedAt := time.Now()
		pair.End()
		time.Sleep(time.Minute) // until all runs have ended
		for _, c := range pair.each() {
			for _, name := range c.Servers() {
				pack(t, filepath.Join(c.dir, name), filepath.Join(folder, name))
			}
		}
		writePriorRun(t, folder, source.History, killedAt, 7)
	})
}

// sendConfigurations sends configurations, some of which must be refused.
func sendConfigurations(c *Cluster) {
	c.T.Helper()
	for _, change := range []struct{ version, base, code int }{{2, 1, 200}, {5, 2, 200}, {6, 2, 412}, {90, 60, 412}, {7, 5, 200}} {
		more := deferrableRoute + routeJSON(fmt.Sprint("v", change.version))
		if code := c.PutConfiguration("a-edge-2", change.version, change.base, more); code != change.code {
			c.T.Fatalf("configuration %d based on %d gets %d, want %d", change.version, change.base, code, change.code)
		}
	}
}

// onceLogged returns a channel that is closed when a log line first contains a
// substring.
func (c *Cluster) onceLogged(substring string) <-chan struct{} {
	logged := make(chan struct{})
	var once sync.Once
	observe := func(line string) {
		if strings.Contains(line, substring) {
			once.Do(func() { close(logged) })
		}
	}
	c.onLog.Store(&observe)
	return logged
}

// replaceVoter adds a new server and removes an old one.
func replaceVoter(c *Cluster, old string) {
	c.AddServer("z")
	time.Sleep(3 * time.Second)
	c.Terminate(old)
	c.RemoveNode(old)
	c.SetSeeds(c.Servers()...)
	time.Sleep(catchUpBound)
}

// takeSnapshots grows the log until all servers have taken a snapshot.
func takeSnapshots(c *Cluster) {
	edges := c.nodeNames("edge")
	var calls sync.WaitGroup
	for caller := range 16 {
		calls.Go(func() {
			for c.AppliedIndex(edges[caller%len(edges)]) < server.SnapshotInterval {
				c.request("DELETE", "http://"+c.NodeIP(edges[caller%len(edges)])+":8161/p/"+jobID(800000+caller), "h", "", map[string]string{protocol.HeaderTimeLeft: "2000", protocol.HeaderAuthorization: authorization(keyOf(unlimitedTenant))})
			}
		})
	}
	calls.Wait()
	time.Sleep(time.Second)
}

// pack writes the compressed database file of a machine and the dump of its tables.
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
	if err := os.WriteFile(to+".txt", []byte(dumpDataFolder(t, copied)), 0o644); err != nil {
		t.Fatal(err)
	}
}

// priorRun is what is known of the run that wrote the data folders.
type priorRun struct {
	killedAt time.Time
	version  int // of the configuration in force
	// incarnations are the numbers of the newest incarnations of the runners, by node.
	incarnations map[string]int
}

// priorRunFile has lines of tab-separated columns: when the daemons were killed, the
// events of runs, and the configurations that were sent.
const priorRunFile = "past.txt"

// priorRunKinds maps the words of that file to kinds of events.
var priorRunKinds = map[string]EventKind{
	"start": EventRunStarted,
	"end":   EventRunEnded,
	"note":  EventAcknowledged,
	"lapse": EventLeaseExpired,
	"life":  EventCrashed,
}

// writePriorRun writes the observed history.
func writePriorRun(t *testing.T, folder string, history *History, killedAt time.Time, version int) {
	t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, "ended\t%d\t%d\n", killedAt.UnixMilli(), version)
	for _, event := range history.Events {
		for word, kind := range priorRunKinds {
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
	if err := os.WriteFile(filepath.Join(folder, priorRunFile), []byte(text.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// readPriorRun fills a history with the recorded events and calls, and with the jobs.
// Runs that were in progress are recorded as crashed, since their machines were
// stopped.
func readPriorRun(t *testing.T, folder string, history *History) priorRun {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(folder, priorRunFile))
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
	prior := priorRun{incarnations: map[string]int{}}
	running := map[runKey]Event{}
	for line := range strings.Lines(string(raw)) {
		switch cells := strings.Split(strings.TrimSuffix(line, "\n"), "\t"); cells[0] {
		case "ended":
			prior.killedAt, prior.version = time.UnixMilli(int64(number(cells[1]))), number(cells[2])
		case "run":
			event := Event{Kind: priorRunKinds[cells[1]], Node: cells[2], Incarnation: cells[3], Task: cells[4], Run: number(cells[5]), Outcome: cells[6], Completion: int64(number(cells[7])), JobSpec: cells[8]}
			history.record(event)
			prior.incarnations[event.Node] = max(prior.incarnations[event.Node], 1)
			switch key := (runKey{event.Incarnation, event.Task, event.Run}); event.Kind {
			case EventRunStarted:
				running[key] = event
			case EventRunEnded:
				delete(running, key)
			case EventCrashed:
				prior.incarnations[event.Node]++
			}
		case "configuration":
			history.recordCall(Call{Kind: CallReplace, Version: int64(number(cells[1])), Base: int64(number(cells[2])), Code: number(cells[3]), Text: cells[4],
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
	for _, first := range firstDemandJobs {
		for _, record := range demandJobs(first + targetDemandOffset) {
			history.Jobs[record.id] = &SubmittedJob{JobSpec: record.body.Spec, Accepted: true}
		}
	}
	return prior
}
