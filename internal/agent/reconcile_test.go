package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// TestMissingRun: when a run that is in neither list counts as missed, and when it is declared
// stopped.
func TestMissingRun(t *testing.T) {
	const pollAtLastCall = 5
	for name, test := range map[string]struct {
		phase        runPhase
		missedBefore int
		poll         uint64
		incomplete   bool
		wantMissed   int
		want         string // declared result
	}{
		"running, first time":             {runRunning, 0, 6, false, 1, ""},
		"running, second time":            {runRunning, 1, 6, false, 2, protocol.ResultStopped},
		"running, poll before the answer": {runRunning, 1, pollAtLastCall, false, 1, ""},
		"running, list cut off":           {runRunning, 1, 6, true, 1, ""},
		"stopped, first time":             {runStopped, 0, 6, false, 1, protocol.ResultStopped},
		"stopped, poll before the answer": {runStopped, 0, pollAtLastCall, false, 0, ""},
		"starting":                        {runStarting, 1, 6, false, 1, ""},
		"stopping":                        {runStopping, 1, 6, false, 1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 1)
				f.assign(0)
				key := runKey("j.0.0.0", 1)
				run := f.session.runs[key]
				run.phase, run.missedPolls, run.pollAtLastCall = test.phase, test.missedBefore, pollAtLastCall
				f.agent.reconcile(f.session, test.poll, listing{complete: !test.incomplete})
				if run.missedPolls != test.wantMissed || run.declaredResult != test.want {
					t.Errorf("missed %d times, declared %q; want %d, %q", run.missedPolls, run.declaredResult, test.wantMissed, test.want)
				}
				if f.session.runs[key] == nil {
					t.Error("run deleted before its result was committed")
				}
				f.handleEvents()
			})
		})
	}
}

// TestRunIsDeletedOnceCompletionIsListed: this holds also if a result was declared.
func TestRunIsDeletedOnceCompletionIsListed(t *testing.T) {
	for _, declared := range []string{"", protocol.ResultLeaseExpired} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, 1)
			f.assign(0)
			f.session.runs[runKey("j.0.0.0", 1)].declaredResult = declared
			f.listCompletions(0)
			if len(f.session.runs) != 0 {
				t.Errorf("declared %q: run not deleted", declared)
			}
			f.handleEvents()
			f.check(1, 0)
		})
	}
}

// TestListedRunPhase: a run that is listed exists, whatever the response to its start was; one
// whose result was declared is stopped.
func TestListedRunPhase(t *testing.T) {
	for name, test := range map[string]struct {
		phase    runPhase
		declared string
		want     runPhase
	}{
		"pending":                 {runPending, "", runRunning},
		"starting":                {runStarting, "", runRunning},
		"stopping":                {runStopping, "", runStopping},
		"stopped":                 {runStopped, "", runStopped},
		"running though declared": {runRunning, protocol.ResultLeaseExpired, runStopping},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, 1)
			f.assign(0)
			run := f.session.runs[runKey("j.0.0.0", 1)]
			run.phase, run.declaredResult, run.missedPolls = test.phase, test.declared, 1
			f.agent.reconcile(f.session, 1, newListing(listRunning("j.0.0.0").KeepAlive))
			if run.phase != test.want || run.missedPolls != 0 {
				t.Errorf("%s: phase %d, want %d; missed %d times", name, run.phase, test.want, run.missedPolls)
			}
		})
	}
}

// TestLostCheckpointReportIsRepeated: a report that got no response, or was refused since there was
// no leader, is repeated with the next listing. A committed checkpoint is not reported again.
func TestLostCheckpointReportIsRepeated(t *testing.T) {
	listing := listRunning("j.0.0.0")
	listing.KeepAlive.Running[0][2] = "saved"
	saved := func(f *fixture) string { return f.state.Jobs["j"].Instances[0].Steps[0].Tasks[0].Checkpoint }
	poll := func(f *fixture) {
		f.session.lastPoll++
		f.agent.handleKeepAlive(f.session, protocol.KeepAliveRequest{}, f.session.lastPoll, listing)
		f.handleEvents()
		time.Sleep(2 * reportTimeout)
		f.handleEvents()
	}
	for name, lose := range map[string]func(f *fixture) (restore func()){
		"no response": func(f *fixture) func() {
			f.dropReport = func(*state.ReportCompletions) bool { return true }
			return func() { f.dropReport = nil }
		},
		"no leader": func(f *fixture) func() {
			f.agent.callLeader = noLeader
			return func() { f.agent.callLeader = f.callLeader }
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _ := newFixtureWithRunner(t)
				f.assign(0)
				restore := lose(f)
				poll(f)
				if saved(f) != "" {
					t.Fatal("the report was not lost")
				}
				restore()
				poll(f)
				if saved(f) != "saved" {
					t.Error("the checkpoint was not reported again")
				}
				reports := f.reports
				poll(f)
				if f.reports != reports {
					t.Error("a committed checkpoint was reported again")
				}
			})
		})
	}
}
