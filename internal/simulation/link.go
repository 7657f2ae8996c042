package simulation

import "time"

const (
	// connWindow is how many bytes of a connection may be on their way or unread, where
	// one of its hosts has a link with a rate and nobody has set another number.
	connWindow = 64 << 10
	// linkPart is the largest part in which bytes pass such a link, in bytes.
	linkPart = 8 << 10
)

// link is the link of a host, which carries so many bytes a second each way, in the order
// in which they were sent.
type link struct {
	rate    float64 // bytes a second
	outBusy time.Time
	inBusy  time.Time
}

// pass returns when bytes have passed a link that is busy for a time, and makes it busy
// until then.
func (l *link) pass(busy *time.Time, from time.Time, size int) time.Time {
	if busy.After(from) {
		from = *busy
	}
	*busy = from.Add(time.Duration(float64(size) / l.rate * float64(time.Second)))
	return *busy
}

// SetRate gives a host's link a rate in bytes a second, each way; 0: it carries anything at
// once.
func (n *Network) SetRate(ip string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if bytesPerSecond <= 0 {
		delete(n.links, ip)
		return
	}
	n.links[ip] = &link{rate: bytesPerSecond}
}

// hasRate reports whether the link of one of two hosts has a rate.
func (n *Network) hasRate(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[from] != nil || n.links[to] != nil
}

// arrival is when bytes that are sent now arrive, behind what their hosts' links carry.
func (n *Network) arrival(from, to string, size int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := time.Now()
	if l := n.links[from]; l != nil {
		at = l.pass(&l.outBusy, at, size)
	}
	at = at.Add(networkDelay + n.extraDelay[from] + n.extraDelay[to])
	if l := n.links[to]; l != nil {
		at = l.pass(&l.inBusy, at, size)
	}
	return at
}
