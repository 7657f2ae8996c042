package httpserver

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// clientMemoryFraction is the fraction of a process's memory that its clients may hold.
	clientMemoryFraction = 0.2
	// connectionBytes is charged for an open connection: its buffers, its goroutines, and what the
	// kernel holds that was not read.
	connectionBytes = 32 << 10
	// headBytesPerByte is charged for each byte of a head while the head is received, since short
	// fields take many times their size once they are parsed.
	headBytesPerByte = 32
	// headFieldBytes is charged for each field of a complete head, in addition to twice its text.
	headFieldBytes = 256
	// bodyBytesPerByte is charged for each byte of a body that a handler has read, since the buffers
	// that collect a body grow by copying.
	bodyBytesPerByte = 2
	// minProgress is the number of bytes per second below which a client that sends counts as
	// waiting. It matters only while the budget is exhausted.
	minProgress = 1 << 10
	// evictedFraction is the fraction of its limit that an exhausted budget frees at once, so that the
	// connections are not searched for each byte.
	evictedFraction = 8
	// minEvictionWait is the time that a connection has to make progress before it is evicted to accept
	// another one. A client that was just accepted must get to send its request.
	minEvictionWait = 200 * time.Millisecond
	// soleRequestFactor multiplies the limit for a request beside which no other could be evicted, so
	// that one very large request is served while there are no others.
	soleRequestFactor = 1.6
)

// Budget bounds the memory that the clients of a process hold, on all its servers together. What a
// connection holds is charged as it is received, not as it is announced. When the limit is reached,
// connections that wait for their clients are evicted, first those that have held the most for the
// longest time without progress. A nil Budget has no limit. It is safe for concurrent use.
type Budget struct {
	limit int64 // bytes

	mu       sync.Mutex // guards the fields below and those of the accounts
	used     int64      // held by all accounts
	evicting int64      // held by accounts that are evicted, which end soon
	accounts map[*account]struct{}
	evicted  int64 // number of evictions
}

// NewBudget returns the budget of a process that has the given memory, in units of 2^20 bytes; nil if
// that is 0.
func NewBudget(memoryMB int) *Budget {
	if memoryMB <= 0 {
		return nil
	}
	const bytesPerMB = 1 << 20
	return newBudget(int64(clientMemoryFraction * float64(memoryMB) * bytesPerMB))
}

// newBudget returns a budget with a limit in bytes.
func newBudget(limit int64) *Budget {
	return &Budget{limit: limit, accounts: map[*account]struct{}{}}
}

// Usage returns how many bytes are held, the limit, and the number of connections evicted so far.
func (b *Budget) Usage() (used, limit, evicted int64) {
	if b == nil {
		return 0, 0, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.limit, b.evicted
}

// account is what one connection holds of a budget. A nil account holds nothing.
type account struct {
	budget *Budget
	server *Server
	// interrupt ends the connection's wait for its client. It must not block.
	interrupt func()

	held     int64
	received int64 // bytes of the current request
	// evictable is set while the client owes bytes: between requests, in a head and in a body.
	evictable bool
	// waitingSince is when the pending read began; zero if none is pending.
	waitingSince time.Time
	startedAt    time.Time // when the first byte of the current request arrived, or the connection was opened
	evicted      bool
}

// open returns the account of a connection that was just accepted; nil if the budget is nil.
func (b *Budget) open(server *Server, now time.Time, interrupt func()) *account {
	if b == nil {
		return nil
	}
	a := &account{budget: b, server: server, interrupt: interrupt, evictable: true, startedAt: now, waitingSince: now}
	b.mu.Lock()
	b.accounts[a] = struct{}{}
	b.mu.Unlock()
	a.charge(connectionBytes, now)
	return a
}

// close releases what the account holds.
func (a *account) close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.hold(a, 0)
	delete(a.budget.accounts, a)
}

// hold changes what an account holds. The caller holds mu.
func (b *Budget) hold(a *account, bytes int64) {
	b.used += bytes - a.held
	if a.evicted {
		b.evicting += bytes - a.held
	}
	a.held = bytes
}

// beginRead records that the connection waits for its client.
func (a *account) beginRead(now time.Time) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.waitingSince = now
}

// endRead records that a read has returned n bytes.
func (a *account) endRead(n int, now time.Time) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.waitingSince = time.Time{}
	if a.received == 0 {
		a.startedAt = now
	}
	a.received += int64(n)
}

// reset records what the account holds besides its connection, and whether the client owes bytes. A
// new request starts if the account was idle.
func (a *account) reset(bytes int64, evictable bool) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.evictable = evictable
	a.budget.hold(a, connectionBytes+bytes)
}

// setEvictable records whether the client owes bytes.
func (a *account) setEvictable(evictable bool) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.evictable = evictable
}

// beginIdle records that a request has ended and the next one has not begun.
func (a *account) beginIdle(now time.Time) {
	if a == nil {
		return
	}
	a.reset(0, true)
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.received, a.startedAt = 0, now
}

// charge adds bytes to what the account holds, and evicts connections if the limit is reached. It
// returns false if there is no room for them; they are not charged then.
func (a *account) charge(bytes int64, now time.Time) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes <= 0 {
		b.hold(a, a.held+bytes)
		return true
	}
	if b.exceeds(bytes) {
		b.makeRoom(a, bytes, now)
	}
	if b.used-b.evicting+bytes > int64(soleRequestFactor*float64(b.limit)) || b.exceeds(bytes) && a.held+bytes < b.limit/2 {
		return false
	}
	b.hold(a, a.held+bytes)
	return true
}

// exceeds reports whether the limit is exceeded with some more bytes. The caller holds mu.
func (b *Budget) exceeds(bytes int64) bool { return b.used-b.evicting+bytes > b.limit }

// makeRoom evicts connections other than that of the account until more than the given bytes are
// free. The caller holds mu.
func (b *Budget) makeRoom(requester *account, bytes int64, now time.Time) {
	wanted := bytes + b.limit/evictedFraction
	for _, candidate := range b.candidates(requester, now) {
		if !b.exceeds(wanted) {
			return
		}
		b.evict(candidate)
	}
}

// evictFrom evicts the connection of a server that has waited for the longest time with the most
// bytes, at least for minEvictionWait, and reports whether there was one.
func (b *Budget) evictFrom(server *Server, now time.Time) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var worst *account
	for a := range b.accounts {
		if a.server == server && a.mayBeEvicted() && a.lag(now) >= minEvictionWait && (worst == nil || a.burden(now) > worst.burden(now)) {
			worst = a
		}
	}
	if worst == nil {
		return false
	}
	b.evict(worst)
	return true
}

// candidates returns the accounts other than the requester's that may be evicted, the first one first.
// The caller holds mu.
func (b *Budget) candidates(requester *account, now time.Time) []*account {
	var list []*account
	for a := range b.accounts {
		if a != requester && a.mayBeEvicted() {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(x, y *account) int { return cmp.Compare(y.burden(now), x.burden(now)) })
	return list
}

// mayBeEvicted reports whether the connection waits for its client. The caller holds the budget's mu.
func (a *account) mayBeEvicted() bool { return a.evictable && !a.evicted && !a.waitingSince.IsZero() }

// burden is the order of eviction: the bytes held times the seconds without progress.
func (a *account) burden(now time.Time) float64 { return float64(a.held) * a.lag(now).Seconds() }

// lag is how long the client has made no progress: the time since its last byte, or the time by which
// it is behind a client that sends minProgress.
func (a *account) lag(now time.Time) time.Duration {
	expected := time.Duration(float64(a.received) / minProgress * float64(time.Second))
	return max(now.Sub(a.waitingSince), now.Sub(a.startedAt)-expected)
}

// evict ends the wait of a connection for its client. The caller holds mu.
func (b *Budget) evict(a *account) {
	a.evicted = true
	b.evicting += a.held
	b.evicted++
	a.interrupt()
}

// evictSelf evicts the account's own connection, for whose next bytes there is no room.
func (a *account) evictSelf() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.evicted {
		a.budget.evict(a)
	}
}

// isEvicted reports whether the connection is evicted.
func (a *account) isEvicted() bool {
	if a == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.evicted
}
