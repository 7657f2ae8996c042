package simulation

import (
	"compress/gzip"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/golden"
	"tealpond/internal/protocol"
)

// writeFolders makes TestUpgrade first write data folders with the present program,
// under a new name. The folders of earlier programs are never rewritten:
//
//	go test ./internal/simulation -run TestUpgrade -simulation.write v2
var writeFolders = flag.String("simulation.write", "", "write data folders under testdata, with this name")

// upgradeJob is a job in the data folders: how it was submitted, and its expected final
// state.
type upgradeJob struct {
	pathPrefix string // of its route
	id         string
	body       protocol.Job
	finalState string
}

// upgradePair is two clusters. Jobs are transferred from source to target.
type upgradePair struct{ source, target *Cluster }

func (p upgradePair) each() []*Cluster { return []*Cluster{p.source, p.target} }

// End stops both clusters.
func (p upgradePair) End() {
	for _, c := range p.each() {
		c.Shutdown()
	}
}

// newUpgradePair creates the two clusters without daemons.
func newUpgradePair(t *testing.T) upgradePair {
	t.Helper()
	network := NewNetwork()
	crowded := forecastSettings{crowdedAt: 0.001, bucketS: 1, dayS: 3, transfersEnabled: true}
	source := NewCluster(t, ClusterSpec{Network: network, Subnet: 1, Name: "a-", ToleratedLosses: 1, Federation: federationFile("a", "b", 2, crowded)})
	neverCrowded := forecastSettings{crowdedAt: 1, bucketS: 1, dayS: 3}
	target := NewCluster(t, ClusterSpec{Network: network, Subnet: 2, Name: "b-", ToleratedLosses: 1, Federation: federationFile("b", "a", 1, neverCrowded), History: source.History})
	return upgradePair{source, target}
}

// hostNumbers are the host numbers of the servers in their subnet, by name without the
// prefix of the cluster.
var hostNumbers = map[string]int{"edge-1": 1, "edge-2": 2, "edge-3": 3, "new-1": addedServerHost + 1}

// addMachines adds servers with the given names and two runners with their agents;
// startAll starts them. firstStart reports whether the first Raft group is yet to be
// formed.
func (c *Cluster) addMachines(firstStart bool, servers ...string) {
	c.T.Helper()
	for _, name := range servers {
		host, known := hostNumbers[strings.TrimPrefix(name, c.Name)]
		if !known {
			c.T.Fatalf("no address for server %s", name)
		}
		c.addNode(&node{zone: "z", name: name, ip: c.hostIP(host), role: edgeRole, server: true, firstStart: firstStart})
	}
	c.SetSeeds(servers...)
	for i := range 2 {
		name := fmt.Sprintf("%sside-%d", c.Name, i+1)
		c.addNode(&node{zone: "z", name: name, ip: c.hostIP(agentHost(i)), role: agentRole, firstStart: firstStart})
		c.Runners[name] = NewRunner(c.History, name, "svc", int64(i+1))
		c.Runners[name].Capacity.GPUs = 2
	}
}

// TestUpgrade opens data folders that earlier programs wrote. All tables hold the same
// contents as before, and the daemons continue from there: accepted jobs reach their
// expected final states with each task done once, and new jobs and configurations are
// accepted.
func TestUpgrade(t *testing.T) {
	if golden.Updating() {
		t.Fatal("table dumps are written together with their data folders (-simulation.write) and never updated")
	}
	if *writeFolders != "" {
		writeUpgradeFolders(t, filepath.Join("testdata", *writeFolders))
	}
	folders, err := filepath.Glob(filepath.Join("testdata", "v*"))
	if err != nil || len(folders) == 0 {
		t.Fatalf("no data folders in testdata: %v", err)
	}
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			compareTables(t, folder)
			synctest.Test(t, func(t *testing.T) { resumeFromFolder(t, folder) })
		})
	}
}

// packedFolders lists the archives of the data folders in a directory.
func packedFolders(t *testing.T, folder string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.db.gz"))
	if err != nil || len(files) != 6 {
		t.Fatalf("%s holds the data folders %v, want six: %v", folder, files, err)
	}
	return files
}

// machineName returns the name of the machine whose data folder a file archives.
func machineName(file string) string { return strings.TrimSuffix(filepath.Base(file), ".db.gz") }

// unpack decompresses the database file of a machine into its data folder.
func unpack(t *testing.T, packed, folder string) {
	t.Helper()
	from, err := os.Open(packed)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = from.Close() }() // opened only for reading
	plain, err := gzip.NewReader(from)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := io.ReadAll(plain)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "tealpond.db"), raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

// compareTables compares the dump of each data folder, as the present program reads it,
// with the golden file beside it.
func compareTables(t *testing.T, folder string) {
	t.Helper()
	var all strings.Builder
	for _, packed := range packedFolders(t, folder) {
		data := t.TempDir()
		unpack(t, packed, data)
		text := dumpDataFolder(t, data)
		golden.Text(t, filepath.Join(filepath.Base(folder), machineName(packed)+".txt"), text)
		if !strings.Contains(text, "\nsnapshot index=3000 ") {
			t.Errorf("data folder of %s has no snapshot at index 3000", machineName(packed))
		}
		all.WriteString(text)
	}
	for _, pattern := range slices.Concat(requiredRows, submissionRows(filepath.Base(folder))) {
		if !regexp.MustCompile("(?m)^" + pattern).MatchString(all.String()) {
			t.Errorf("no data folder of %s has a row that matches %q", folder, pattern)
		}
	}
}

// requiredRows are patterns of rows that the data folders must contain, so that the
// test covers these kinds of data.
var requiredRows = []string{
	"founder", "snapshot-voter node=\"a-new-1\"", "entry .* kind=0",
	"configuration version=7", "route", "service", "accepted base=5 version=7", "refused base=60",
	"worker .* dead=false", "worker .* dead=true", "device .* class=\"gpu\"", "device .* class=\"turn\"", "device .* class=\"loan\"", " booking", "allocation .* gpus=\\[\"",
	"rollup", "aggregator", "flaps", "job .* times=3 .* ended=0", "job .* state=\"pending\"", "job .* state=\"serving\"", "job .* state=\"done\"", "job .* state=\"failed\"",
	"job .* state=\"called_off\"", " step .* all-together=true", " step .* twice=true", "   task .* done=true", "peer", "void", "loan", "demand",
	" move .* state=[12] .* guest=false", " move .* guest=true",
}

// submissionRows returns patterns of the rows about submitted jobs that the folders of
// a version must contain. The first version had no tenants.
func submissionRows(version string) []string {
	if version == "v1" {
		return []string{" command kind=\"handin\""}
	}
	return []string{" command kind=\"submit\"", "quota tenant=", "job-tenant .* tenant="}
}

// resumeFromFolder starts the daemons on copies of the data folders and requires that
// they finish the accepted jobs and accept new ones.
func resumeFromFolder(t *testing.T, folder string) {
	t.Helper()
	pair := newUpgradePair(t)
	defer pair.End()
	prior := readPriorRun(t, folder, pair.source.History)
	time.Sleep(time.Until(prior.killedAt) + time.Minute)
	for _, c := range pair.each() {
		var servers []string
		for _, packed := range packedFolders(t, folder) {
			if name := machineName(packed); strings.HasPrefix(name, c.Name) {
				unpack(t, packed, filepath.Join(c.dir, name))
				servers = append(servers, name)
			}
		}
		c.addMachines(false, servers...)
		for name, runner := range c.Runners {
			// The machines of the runners were restarted too, so that new incarnations begin.
			runner.SkipIncarnations(prior.incarnations[name])
		}
		c.failOnDivergence()
		c.startAll()
	}
	source := pair.source
	source.WaitUntil("a configuration is accepted", 20*time.Second, func() bool {
		return source.PutConfiguration(source.Servers()[0], prior.version+1, prior.version, deferrableRoute+routeJSON("later")) == 200
	})
	jobs := upgradeJobs()
	for _, added := range jobsAfterUpgrade() {
		if !source.SubmitJobUnder(added.pathPrefix, added.id, added.body) {
			t.Errorf("new job %s was not accepted", added.id)
		}
		jobs = append(jobs, added)
	}
	source.requireFinalStates(jobs)
	time.Sleep(5 * time.Second)
	requireEachTaskOnce(t, source.History, jobs)
	source.requireNoViolations()
}

// jobsAfterUpgrade returns the jobs that are submitted after the daemons were
// restarted.
func jobsAfterUpgrade() []upgradeJob {
	return []upgradeJob{
		{"/later/", jobID(5000), newJob(300, 500, 2), "done"},
		{"/slow/", jobID(5001), newJob(300, 500, 2), "done"},
		{"/p/", jobID(5002), newJob(300, 500, 2), "done"},
	}
}

// requireFinalStates requires that jobs reach their final states within three minutes,
// twice as long as the longest job needs.
func (c *Cluster) requireFinalStates(jobs []upgradeJob) {
	c.T.Helper()
	end := time.Now().Add(3 * time.Minute)
	for _, submitted := range jobs {
		state := ""
		for ; time.Now().Before(end) && state != submitted.finalState; time.Sleep(500 * time.Millisecond) {
			state = c.JobStateUnder(submitted.pathPrefix, c.Servers()[1], submitted.id)
		}
		if state != submitted.finalState {
			c.T.Errorf("job %s is %q, want %q", submitted.id, state, submitted.finalState)
		}
	}
}

// requireEachTaskOnce requires that each task of the jobs that end as done has exactly
// one acknowledged completion, counted over the runs under both programs. A speculative
// task may have two.
func requireEachTaskOnce(t *testing.T, history *History, jobs []upgradeJob) {
	t.Helper()
	history.mu.Lock()
	defer history.mu.Unlock()
	durable, done := durableCompletions(history), map[string]int{}
	for _, event := range history.Events {
		if event.Kind == EventRunEnded && event.Outcome == runDone && durable[completionKey{event.Incarnation, event.Completion}] {
			done[event.Task]++
		}
	}
	for _, submitted := range jobs {
		if submitted.finalState != "done" {
			continue
		}
		for instance := range max(submitted.body.PeriodicInstances, 1) {
			for step, body := range submitted.body.Steps {
				for index := range body.TaskCount {
					task := fmt.Sprintf("%s.%d.%d.%d", submitted.id, instance, step, index)
					if done[task] != 1 && (!body.Speculative || done[task] != 2) {
						t.Errorf("task %s completed %d times, want 1", task, done[task])
					}
				}
			}
		}
	}
}
