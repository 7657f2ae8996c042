package simulation

import "time"

const (
	// defaultReceiveWindow is the maximum number of bytes that may be in flight or unread in
	// one direction of a connection, unless SetReadBuffer sets another one. It applies only if
	// the link of one of the hosts has a rate limit.
	defaultReceiveWindow = 64 << 10
	// maxLinkSegment is the largest segment that such a link transmits, in bytes.
	maxLinkSegment = 8 << 10
)

// link is a host's rate-limited network link. In each direction it transmits data at its rate,
// in the order in which the data was sent.
type link struct {
	rate         float64 // bytes a second
	outBusyUntil time.Time
	inBusyUntil  time.Time
}

// transmit returns when size bytes that are ready at a time have been transmitted, and marks
// the direction as busy until then. busyUntil is the end of the transmissions before.
func (l *link) transmit(busyUntil *time.Time, from time.Time, size int) time.Time {
	if busyUntil.After(from) {
		from = *busyUntil
	}
	*busyUntil = from.Add(time.Duration(float64(size) / l.rate * float64(time.Second)))
	return *busyUntil
}

// SetRate sets the rate of a host's link in each direction, in bytes a second. 0 removes the
// limit.
func (n *Network) SetRate(ip string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if bytesPerSecond <= 0 {
		delete(n.links, ip)
		return
	}
	n.links[ip] = &link{rate: bytesPerSecond}
}

// isRateLimited reports whether the link of one of two hosts has a rate limit.
func (n *Network) isRateLimited(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[from] != nil || n.links[to] != nil
}

// arrivalTime returns when data that is sent now arrives, after the data that the hosts' links
// are already transmitting.
func (n *Network) arrivalTime(from, to string, size int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := time.Now()
	if l := n.links[from]; l != nil {
		at = l.transmit(&l.outBusyUntil, at, size)
	}
	at = at.Add(networkDelay + n.extraDelay[from] + n.extraDelay[to])
	if l := n.links[to]; l != nil {
		at = l.transmit(&l.inBusyUntil, at, size)
	}
	return at
}
