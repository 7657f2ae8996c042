package sim

import (
	"testing"
	"time"
)

// TestFarBehind: a member is cut off while the log grows past what the others
// keep, is fed a snapshot, cut off in mid-transfer, fed another one, under a
// storm of changes; after a restart of all, the replicas agree and each leads
// as well as the others.
func TestFarBehind(t *testing.T) {
	for _, seed := range seeds(2) {
		t.Run(string(rune('0'+seed)), func(t *testing.T) {
			playDay(t, three, seed, func(d *day) {
				hit := d.follower()
				if seed%2 == 0 {
					hit = d.Leader()
				}
				d.fill(400, 28*time.Second)
				d.storm(seed, 250*time.Millisecond, 28*time.Second)
				time.Sleep(time.Second)
				mend := d.Harm(hit, CutBoth)
				time.Sleep(14 * time.Second)
				mend()
				// A frame of a snapshot takes a millisecond or so on this network.
				time.Sleep(time.Duration(d.rnd.Intn(80)) * time.Millisecond)
				mend = d.Harm(hit, CutIn)
				time.Sleep(6 * time.Second)
				mend()
				time.Sleep(time.Duration(d.rnd.Intn(80)) * time.Millisecond)
				d.Bounce(300*time.Millisecond, hit)
				time.Sleep(catchUp)
				d.caughtUp(hit)
				d.Bounce(time.Second, d.names("")...)
				time.Sleep(catchUp)
				// Each replica leads once: what one of them lacks is then seen.
				for range 2 {
					l := d.Leader()
					d.Term(l)
					time.Sleep(time.Second)
					d.Start(l, d.lost)
					d.acks("under the next leader")
				}
			})
		})
	}
}

// caughtUp demands that a member has applied about as much as the others.
func (d *day) caughtUp(name string) {
	d.T.Helper()
	d.Until(name+" has caught up", catchUp, func() bool {
		most := uint64(0)
		for _, n := range d.Core() {
			most = max(most, d.Applied(n))
		}
		return d.Applied(name)+200 > most
	})
}
