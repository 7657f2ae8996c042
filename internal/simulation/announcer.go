package simulation

import (
	"context"
	"net/http"
	"time"

	"tealpond/internal/protocol"
)

// drainDuration is how long a runner continues to serve after its drain was acknowledged, or
// after a sign-off without a drain.
const drainDuration = 2500 * time.Millisecond

// announceRunner sends the heartbeats of a runner that is not in a platform's list, until the
// runner has ended. Heartbeats go to the daemons in turn; if one does not acknowledge, the next
// daemon is tried at once.
func (p *Platform) announceRunner(ctx context.Context, id string) {
	for sequence := int64(1); ; sequence++ {
		runner, alive := p.Runner(id)
		if !alive || ctx.Err() != nil {
			return
		}
		heartbeat := protocol.Heartbeat{Service: runner.TargetService, Address: runner.Address, Zone: runner.Zone, Slots: runner.Slots, State: runner.State, Sequence: sequence}
		if p.callUntilAcknowledged(ctx, "/-/Runners.Heartbeat/"+id, int(sequence), heartbeat) && runner.State == protocol.RunnerDraining {
			time.Sleep(drainDuration)
			p.callUntilAcknowledged(ctx, "/-/Runners.SignOff/"+id, int(sequence), nil)
			p.Crash(id, 0)
			return
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

// callUntilAcknowledged makes a runner's call at one daemon after another until one acknowledges
// it. It reports whether any did.
func (p *Platform) callUntilAcknowledged(ctx context.Context, path string, first int, body any) bool {
	nodes := p.cluster.nodeNames(gatewayRole)
	for i := range nodes {
		if ctx.Err() != nil {
			return false
		}
		node := nodes[(first+i)%len(nodes)]
		if code, _, _ := p.cluster.requestFrom(p.cluster.client, time.Second, http.MethodPost, p.cluster.nodeURL(node, controlPort, path), "", body, nil); code == http.StatusOK {
			return true
		}
	}
	return false
}
