package sim

import (
	"sync"
	"testing"
	"time"
)

// harms are the ways of cutting one daemon off.
var harms = []string{CutBoth, CutIn, CutOut, CutCore, CutClients, Frozen, Slowed}

// cutOff harms a daemon for 20 s while operators and clients call it, and
// demands that it is back within the bounds after it.
func cutOff(t *testing.T, victim func(d *day) string) {
	for i, how := range harms {
		t.Run(how, func(t *testing.T) {
			playDay(t, Shape{Core: 3, Edge: 1, Side: 3, Debug: true}, int64(i+1), func(d *day) {
				name := victim(d)
				over := make(chan struct{})
				pilot := d.pilot(1, 900*time.Millisecond, over)
				time.Sleep(2 * time.Second)
				o := d.NewOperator(2)
				defer o.End()
				o.Read(5 * time.Second)
				edge := d.daemon(name).role == "edge"
				mend := d.Harm(name, how)
				met := &sync.WaitGroup{}
				if edge {
					met = d.meet(name, o, over)
				}
				time.Sleep(10 * time.Second)
				if ready := edge && d.ReadyAt(name); ready && how != Slowed {
					t.Errorf("%s counts itself ready after 10 s: %s", name, how)
				}
				time.Sleep(10 * time.Second)
				close(over)
				met.Wait()
				mend()
				back := time.Now()
				<-pilot
				if edge {
					d.servesTheNewest(name, back)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}

func TestLeaderCutOff(t *testing.T) { cutOff(t, func(d *day) string { return d.Leader() }) }

func TestFollowerCutOff(t *testing.T) {
	cutOff(t, func(d *day) string { return d.others("edge", d.Leader(), "edge-4")[0] })
}

func TestDisklessEdgeCutOff(t *testing.T) { cutOff(t, func(d *day) string { return "edge-4" }) }

func TestSideDaemonCutOff(t *testing.T) { cutOff(t, func(d *day) string { return "side-1" }) }
