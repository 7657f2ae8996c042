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

// writeFolders has TestUpgrade write data folders of the present program first,
// under a new name; those of earlier programs are never written again:
//
//	go test ./internal/simulation -run TestUpgrade -simulation.write v2
var writeFolders = flag.String("simulation.write", "", "write data folders under testdata, by this name")

// upgradeJob is a job of the data folders: what was submitted, and how it ends.
type upgradeJob struct {
	pathPrefix string // of its route
	id         string
	body       protocol.Job
	finalState string
}

// upgradePair is two clusters that move jobs between them.
type upgradePair struct{ source, target *Cluster }

func (p upgradePair) each() []*Cluster { return []*Cluster{p.source, p.target} }

// End stops both clusters.
func (p upgradePair) End() {
	for _, c := range p.each() {
		c.Shutdown()
	}
}

// newUpgradePair builds the two clusters, without daemons.
func newUpgradePair(t *testing.T) upgradePair {
	t.Helper()
	network := NewNetwork()
	crowded := forecastSettings{crowdedAt: 0.001, bucketS: 1, dayS: 3, routesMayBeMoved: true}
	source := NewCluster(t, ClusterSpec{Network: network, Subnet: 1, Name: "a-", ToleratedLosses: 1, Federation: federationFile("a", "b", 2, crowded)})
	neverCrowded := forecastSettings{crowdedAt: 1, bucketS: 1, dayS: 3}
	target := NewCluster(t, ClusterSpec{Network: network, Subnet: 2, Name: "b-", ToleratedLosses: 1, Federation: federationFile("b", "a", 1, neverCrowded), History: source.History})
	return upgradePair{source, target}
}

// hosts are the hosts of the servers in their subnet, by name.
var hosts = map[string]int{"edge-1": 1, "edge-2": 2, "edge-3": 3, "new-1": addedServerHost + 1}

// addMachines adds servers by their names, and two runners with their agents; they
// are started by startAll. firstStart reports whether the first Raft group is yet to
// be formed.
func (c *Cluster) addMachines(firstStart bool, servers ...string) {
	c.T.Helper()
	for _, name := range servers {
		host, known := hosts[strings.TrimPrefix(name, c.Name)]
		if !known {
			c.T.Fatalf("no address for %s", name)
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

// TestUpgrade opens data folders that earlier programs wrote: all tables hold
// what they held, and the daemons go on from there. Accepted jobs end as they
// must, each task done once; new jobs and configurations are accepted.
func TestUpgrade(t *testing.T) {
	if golden.Updating() {
		t.Fatal("the tables beside data folders are written together with these (-simulation.write), never anew")
	}
	if *writeFolders != "" {
		writeUpgradeFolders(t, filepath.Join("testdata", *writeFolders))
	}
	folders, err := filepath.Glob(filepath.Join("testdata", "v*"))
	if err != nil || len(folders) == 0 {
		t.Fatalf("no data folders: %v", err)
	}
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			compareTables(t, folder)
			synctest.Test(t, func(t *testing.T) { goOn(t, folder) })
		})
	}
}

// packedFolders lists the data folders under a folder.
func packedFolders(t *testing.T, folder string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.db.gz"))
	if err != nil || len(files) != 6 {
		t.Fatalf("%s holds the data folders %v, want six; %v", folder, files, err)
	}
	return files
}

// machineOf is the name of the machine whose data folder a file holds.
func machineOf(file string) string { return strings.TrimSuffix(filepath.Base(file), ".db.gz") }

// unpack writes a machine's file into its data folder.
func unpack(t *testing.T, packed, folder string) {
	t.Helper()
	from, err := os.Open(packed)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = from.Close() }() // it was only read
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

// compareTables holds what the present program reads from each data folder
// against the text beside it.
func compareTables(t *testing.T, folder string) {
	t.Helper()
	var all strings.Builder
	for _, packed := range packedFolders(t, folder) {
		data := t.TempDir()
		unpack(t, packed, data)
		text := describe(t, data)
		golden.Text(t, filepath.Join(filepath.Base(folder), machineOf(packed)+".txt"), text)
		if !strings.Contains(text, "\nsnapshot index=3000 ") {
			t.Errorf("the data folder of %s holds no snapshot", machineOf(packed))
		}
		all.WriteString(text)
	}
	for _, part := range slices.Concat(covered, submissions(filepath.Base(folder))) {
		if !regexp.MustCompile("(?m)^" + part).MatchString(all.String()) {
			t.Errorf("no data folder of %s holds %q", folder, part)
		}
	}
}

// covered is what the data folders must hold, or they would prove little.
var covered = []string{
	"founder", "snapshot-voter node=\"a-new-1\"", "entry .* kind=0",
	"configuration version=7", "route", "service", "accepted base=5 version=7", "refused base=60",
	"worker .* dead=false", "worker .* dead=true", "device .* class=\"gpu\"", "device .* class=\"turn\"", "device .* class=\"loan\"", " booking", "allocation .* gpus=\\[\"",
	"rollup", "aggregator", "flaps", "job .* times=3 .* ended=0", "job .* state=\"pending\"", "job .* state=\"serving\"", "job .* state=\"done\"", "job .* state=\"failed\"",
	"job .* state=\"called_off\"", " step .* all-together=true", " step .* twice=true", "   task .* done=true", "peer", "void", "loan", "demand",
	" move .* state=[12] .* guest=false", " move .* guest=true",
}

// submissions is what the folders of a version must hold of submitted jobs: there were no
// tenants in the first.
func submissions(version string) []string {
	if version == "v1" {
		return []string{" command kind=\"handin\""}
	}
	return []string{" command kind=\"submit\"", "quota tenant=", "job-tenant .* tenant="}
}

// goOn starts the daemons on copies of the data folders and has them finish what
// was accepted, and more.
func goOn(t *testing.T, folder string) {
	t.Helper()
	pair := newUpgradePair(t)
	defer pair.End()
	before := readPast(t, folder, pair.source.History)
	time.Sleep(time.Until(before.ended) + time.Minute)
	for _, c := range pair.each() {
		var servers []string
		for _, packed := range packedFolders(t, folder) {
			if name := machineOf(packed); strings.HasPrefix(name, c.Name) {
				unpack(t, packed, filepath.Join(c.dir, name))
				servers = append(servers, name)
			}
		}
		c.addMachines(false, servers...)
		for name, runner := range c.Runners {
			// The runners' machines were restarted too: their next incarnations begin.
			runner.SkipIncarnations(before.incarnations[name])
		}
		c.failOnDivergence()
		c.startAll()
	}
	source := pair.source
	source.WaitUntil("a configuration is accepted", 20*time.Second, func() bool {
		return source.PutConfiguration(source.Servers()[0], before.version+1, before.version, slowRoute+routeJSON("later")) == 200
	})
	jobs := upgradeJobs()
	for _, later := range laterJobs() {
		if !source.SubmitJobUnder(later.pathPrefix, later.id, later.body) {
			t.Errorf("the new job %s is not accepted", later.id)
		}
		jobs = append(jobs, later)
	}
	source.finish(jobs)
	time.Sleep(5 * time.Second)
	eachTaskOnce(t, source.History, jobs)
	source.requireNoViolations()
}

// laterJobs are submitted once the daemons were restarted.
func laterJobs() []upgradeJob {
	return []upgradeJob{
		{"/later/", jobID(5000), newJob(300, 500, 2), "done"},
		{"/slow/", jobID(5001), newJob(300, 500, 2), "done"},
		{"/p/", jobID(5002), newJob(300, 500, 2), "done"},
	}
}

// finish demands that jobs end as they must, within the time that the longest
// needs twice over.
func (c *Cluster) finish(jobs []upgradeJob) {
	c.T.Helper()
	end := time.Now().Add(3 * time.Minute)
	for _, submitted := range jobs {
		state := ""
		for ; time.Now().Before(end) && state != submitted.finalState; time.Sleep(500 * time.Millisecond) {
			state = c.JobStateUnder(submitted.pathPrefix, c.Servers()[1], submitted.id)
		}
		if state != submitted.finalState {
			c.T.Errorf("job %s is %s, want %s", submitted.id, state, submitted.finalState)
		}
	}
}

// eachTaskOnce demands that each task of the jobs that end as done was completed,
// and acknowledged, once over the runs of both programs.
func eachTaskOnce(t *testing.T, history *History, jobs []upgradeJob) {
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
						t.Errorf("task %s was done %d times", task, done[task])
					}
				}
			}
		}
	}
}
