package simulation

import (
	"context"
	"net"
	"sync"

	"tealpond/internal/standin"
)

const (
	platformHost  = 249
	platformPort  = 8100
	apiRunnerPort = 8080
)

// Platform simulates the platform and its runners on the simulated network.
type Platform struct {
	*standin.Platform
	cluster *Cluster
	// announces is set if there is no list and the runners send heartbeats themselves, until
	// stopAnnouncing is called.
	announces       bool
	announceContext context.Context
	stopAnnouncing  context.CancelFunc
	announcers      sync.WaitGroup
}

// NewPlatform starts a platform that has no runners yet.
func NewPlatform(c *Cluster) *Platform {
	p := &Platform{cluster: c}
	p.announceContext, p.stopAnnouncing = context.WithCancel(context.Background())
	var err error
	p.Platform, err = standin.NewPlatform(standin.Options{
		Address:       address(c.hostIP(platformHost), platformPort),
		RunnerAddress: func(n int) string { return address(c.hostIP(platformHost-n), apiRunnerPort) },
		Listen: func(addr string) (net.Listener, error) {
			return c.Network.Host(hostPart(addr)).Listen(context.Background(), addr)
		},
		Disconnect: func(addr string) { c.Network.TakeDown(hostPart(addr)) },
	})
	if err != nil {
		c.T.Fatal(err)
	}
	return p
}

// StartRunner starts a runner of a service in a zone, and lists or announces it. It returns the
// runner's ID.
func (p *Platform) StartRunner(service, zone string) string {
	id, err := p.Platform.StartRunner(service, zone)
	if err != nil {
		p.cluster.T.Fatal(err)
	}
	if p.announces {
		p.announcers.Go(func() { p.announceRunner(p.announceContext, id) })
	}
	return id
}

// Drain marks a runner as draining and ends it after a while. A runner that announces itself
// sends the state with its next heartbeat and ends after its sign-off.
func (p *Platform) Drain(id string) {
	if p.announces {
		p.MarkDraining(id)
		return
	}
	p.Platform.Drain(id)
}

// Close stops the announcements, the platform and all listed runners.
func (p *Platform) Close() {
	p.stopAnnouncing()
	p.announcers.Wait()
	p.Platform.Close()
}
