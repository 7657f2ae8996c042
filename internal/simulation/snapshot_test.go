package simulation

import (
	"testing"
	"time"
)

// TestFarBehind: a member is cut off while the log grows past what the others
// keep, is fed a snapshot, cut off in mid-transfer, fed another one, under a
// storm of changes; after a restart of all, the replicas agree and each leads
// as well as the others.
func TestFarBehind(t *testing.T) {
	for _, seed := range testSeeds(2) {
		t.Run(string(rune('0'+seed)), func(t *testing.T) {
			runScenario(t, threeServers, seed, func(d *scenario) {
				hit := d.follower()
				if seed%2 == 0 {
					hit = d.Leader()
				}
				d.growLog(400, 28*time.Second)
				d.sendConcurrentChanges(seed, 250*time.Millisecond, 28*time.Second)
				time.Sleep(time.Second)
				mend := d.InjectFault(hit, IsolateBothWays)
				time.Sleep(14 * time.Second)
				mend()
				// A frame of a snapshot takes a millisecond or so on this network.
				time.Sleep(time.Duration(d.random.Intn(80)) * time.Millisecond)
				mend = d.InjectFault(hit, IsolateInbound)
				time.Sleep(6 * time.Second)
				mend()
				time.Sleep(time.Duration(d.random.Intn(80)) * time.Millisecond)
				d.Restart(300*time.Millisecond, hit)
				time.Sleep(catchUpBound)
				d.requireCaughtUp(hit)
				d.Restart(time.Second, d.nodeNames("")...)
				time.Sleep(catchUpBound)
				// Each replica leads once: what one of them lacks is then seen.
				for range 2 {
					l := d.Leader()
					d.Terminate(l)
					time.Sleep(time.Second)
					d.Start(l, d.toleratedLosses)
					d.requireAcknowledgement("under the next leader")
				}
			})
		})
	}
}

// requireCaughtUp demands that a member has applied about as much as the others.
func (d *scenario) requireCaughtUp(name string) {
	d.T.Helper()
	d.WaitUntil(name+" has caught up", catchUpBound, func() bool {
		most := uint64(0)
		for _, n := range d.Servers() {
			most = max(most, d.AppliedIndex(n))
		}
		return d.AppliedIndex(name)+200 > most
	})
}
