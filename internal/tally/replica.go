package tally

import (
	"maps"
	"slices"
	"time"
)

// RequestTimeout is how long an application's call may take; applications turn to another daemon
// after a second.
const RequestTimeout = 900 * time.Millisecond

// Config is what a Replica needs to know.
type Config struct {
	// Origin names the file on this replica's disk among all that ever were.
	Origin string
	// Copies is on how many disks an add is before it is acknowledged.
	Copies int
	// PeerTimeout is the silence of a peer after which it counts as cut off, AnswerTimeout
	// how long it may take to answer an add that it is notified of.
	PeerTimeout, AnswerTimeout time.Duration
	// ExchangeInterval is the time between two exchanges of vectors with each peer, and
	// RepeatInterval that after which a peer that lacks something is told again.
	ExchangeInterval, RepeatInterval time.Duration
	// StartupTimeout is for how long after its start a replica answers no reads unless it
	// has what some peer has.
	StartupTimeout time.Duration
	// MaxBytes bounds the file, in bytes: beyond it new adds are refused.
	MaxBytes int64
	// MaxMessageAdds bounds the adds of a message.
	MaxMessageAdds int
}

// Result is the outcome of a change or a read.
type Result int

// Outcomes.
const (
	ResultOK      Result = iota
	ResultFull           // there is no room for another add
	ResultBehind         // a read asks for adds that are not here, or the file lacks some of its own
	ResultStarted        // the replica has just started, and may lack what it acknowledged
)

// peer is another replica, as this one knows it.
type peer struct {
	vector      peerVector          // what it has on its disk
	changed     map[string]struct{} // origins of which it was not told since they changed
	sent        uint64              // the number of the newest add of this origin that it was notified of
	lastContact time.Time           // zero: never
	toldAt      time.Time           // when it was last told of adds of this origin
}

// change is an add that waits to be acknowledged.
type change struct {
	position Position
	since    time.Time
	done     func(Result, Position)
}

// Replica is the state of one replica, as a machine: inputs change it, and what it wants
// written and sent is taken from it afterwards. It is used by one task.
type Replica struct {
	config    Config
	set       *Set
	fileBytes int64 // size of the file
	toWrite   []Run // handed to the disk next
	writing   []Run // being written
	askedBy   []string
	peers     map[string]*peer
	changes   []change
	outbox    []Envelope
	exchanged time.Time
	startedAt time.Time
	caughtUp  bool

	comparing   *comparing // nil: no contents are being compared
	replacing   map[Position]bool
	differences Differences
}

// NewReplica makes a replica of what its file holds, whose size is in bytes.
func NewReplica(config Config, stored []Run, fileBytes int64, now time.Time) *Replica {
	r := &Replica{config: config, set: NewSet(), fileBytes: fileBytes, peers: map[string]*peer{}, startedAt: now, replacing: map[Position]bool{}}
	for _, run := range stored {
		r.set.Stage(run)
		r.set.MarkWritten(run)
	}
	return r
}

// SetPeers says who the other replicas are. What is known of those that stay is kept.
func (r *Replica) SetPeers(ids []string) {
	for _, id := range ids {
		if r.peers[id] == nil {
			r.peers[id] = &peer{vector: peerVector{numbers: Vector{}}, changed: map[string]struct{}{}}
		}
	}
	maps.DeleteFunc(r.peers, func(id string, _ *peer) bool { return !slices.Contains(ids, id) })
}

// Change adds to a tally; done is called with the add's place once it is acknowledged. An
// add whose ID has come before counts no second time, and is acknowledged on the same terms.
func (r *Replica) Change(add Add, now time.Time, done func(Result, Position)) {
	position, known := r.set.Find(add.ID)
	if !known {
		switch {
		case r.isRolledBack():
			done(ResultBehind, Position{})
			return
		case r.FileShare() >= 1:
			done(ResultFull, Position{})
			return
		}
		position = r.append(add)
	}
	r.changes = append(r.changes, change{position, now, done})
	r.acknowledge(now)
}

// FileShare is the share of its bound that the file has reached; 1 and more is full.
func (r *Replica) FileShare() float64 { return float64(r.fileBytes) / float64(r.config.MaxBytes) }

// append gives an add the next number of this origin.
//
// Nobody is notified of it before it is on the disk here. So all numbers that others know are in
// the file, the process that opens it next goes on behind them, and a number stands for one
// add permanently. There are no more origins than there were files.
func (r *Replica) append(add Add) Position {
	run := Run{Origin: r.config.Origin, First: r.set.Newest(r.config.Origin) + 1, Adds: []Add{add}}
	r.toWrite = append(r.toWrite, r.set.Stage(run))
	return Position{Origin: run.Origin, Number: run.First}
}

// isRolledBack reports whether a peer has adds of this origin that are not here: the file is
// an older copy of itself. They come back from that peer, and until then no number is given.
func (r *Replica) isRolledBack() bool {
	newest := r.set.Newest(r.config.Origin)
	for _, peer := range r.peers {
		if peer.vector.numbers[r.config.Origin] > newest {
			return true
		}
	}
	return false
}

// tellChanges tells each peer of the adds of this origin that it was not told of.
func (r *Replica) tellChanges(now time.Time) {
	for _, id := range r.peerIDs() {
		peer := r.peers[id]
		known := max(peer.sent, peer.vector.numbers[r.config.Origin])
		run := r.set.MissingOf(r.config.Origin, known, r.config.MaxMessageAdds)
		if len(run.Adds) == 0 {
			continue
		}
		peer.sent, peer.toldAt = run.Last(), now
		r.send(id, Message{Runs: []Run{run}})
	}
}

// Receive takes a message of a peer.
func (r *Replica) Receive(from string, message Message, now time.Time) {
	sender := r.peers[from]
	if sender == nil {
		return
	}
	sender.lastContact = now
	sender.vector.learn(&message, r.set)
	for _, run := range message.Runs {
		if taken := r.set.Stage(run); len(taken.Adds) > 0 {
			r.toWrite = append(r.toWrite, taken)
		}
	}
	switch {
	case len(message.Runs) > 0 && !slices.Contains(r.askedBy, from):
		r.askedBy = append(r.askedBy, from) // it is answered once that is on the disk
	case message.Exchange || message.AskWhole:
		r.answerExchange(from, sender, message.AskWhole)
	case !sender.vector.known:
		r.send(from, Message{AskWhole: true})
	}
	if message.Comparison != nil {
		r.receiveComparison(from, message.Comparison, now)
	}
	if message.Digest == r.set.Digest() && message.Contents != r.set.Contents() {
		r.compareWith(from, now)
	}
	if !r.caughtUp && sender.vector.known && r.set.Vector().Covers(sender.vector.numbers) {
		r.caughtUp = true
	}
	r.acknowledge(now)
}

// answerExchange tells a peer what it lacks, as far as is known, and the whole of this
// replica's vector if it is asked for.
func (r *Replica) answerExchange(id string, peer *peer, whole bool) {
	answer := Message{Whole: whole, AskWhole: !peer.vector.known}
	if peer.vector.known && peer.vector.digest != r.set.Digest() {
		answer.Runs = r.set.Missing(peer.vector.numbers, r.config.MaxMessageAdds)
	}
	r.send(id, answer)
}

// TakeWrites returns what is to be written next, if nothing is being written; nil if nothing
// is. Written must be called once it is on the disk.
func (r *Replica) TakeWrites() []Run {
	if r.writing != nil || len(r.toWrite) == 0 && len(r.askedBy) == 0 {
		return nil
	}
	if len(r.toWrite) == 0 {
		r.answerPeers() // all that they told is here already
		return nil
	}
	r.writing, r.toWrite = r.toWrite, nil
	return r.writing
}

// Written records that what TakeWrites gave is on the disk, and the size that the file
// has now, in bytes.
func (r *Replica) Written(fileBytes int64, now time.Time) {
	for _, run := range r.writing {
		r.markWritten(run)
		for _, peer := range r.peers {
			peer.changed[run.Origin] = struct{}{}
		}
	}
	r.writing, r.fileBytes = nil, fileBytes
	r.tellChanges(now)
	if len(r.toWrite) == 0 {
		r.answerPeers()
	}
	r.acknowledge(now)
}

// answerPeers tells those peers what is on the disk that have told of adds, and asks for the
// rest of what they have: a message holds a bounded number.
func (r *Replica) answerPeers() {
	for _, id := range r.askedBy {
		if peer := r.peers[id]; peer != nil {
			r.send(id, Message{Exchange: peer.vector.known && !r.set.Vector().Covers(peer.vector.numbers), AskWhole: !peer.vector.known})
		}
	}
	r.askedBy = nil
}

// Tick does what is due: peers that lack adds are told again, and vectors are exchanged.
func (r *Replica) Tick(now time.Time) {
	for _, peer := range r.peers {
		if durable := peer.vector.numbers[r.config.Origin]; durable < peer.sent && now.Sub(peer.toldAt) >= r.config.RepeatInterval {
			peer.sent = durable
		}
	}
	r.tellChanges(now)
	r.tickComparison(now)
	if now.Sub(r.exchanged) >= r.config.ExchangeInterval {
		r.exchanged = now
		for _, id := range r.peerIDs() {
			r.send(id, Message{Exchange: true, AskWhole: !r.peers[id].vector.known})
		}
	}
	r.acknowledge(now)
}

// acknowledge answers the changes that are on enough disks.
func (r *Replica) acknowledge(now time.Time) {
	if len(r.changes) == 0 {
		return
	}
	kept := r.changes[:0]
	var answered []change
	for _, change := range r.changes {
		if r.isSafe(change, now) {
			answered = append(answered, change)
		} else {
			kept = append(kept, change)
		}
	}
	r.changes = kept
	for _, change := range answered {
		change.done(ResultOK, change.position)
	}
}

// isSafe reports whether a change may be acknowledged. A peer that answers is waited for,
// however slow its disk: only those that are silent are done without, and only where there
// are too few others.
func (r *Replica) isSafe(change change, now time.Time) bool {
	if !r.set.Has(change.position) {
		return false
	}
	copies, heard, lacking := 1, 1, 0
	for _, peer := range r.peers {
		has := peer.vector.numbers[change.position.Origin] >= change.position.Number
		if has {
			copies++
		}
		if r.isUnresponsive(peer, change.since, now) {
			continue
		}
		heard++
		if !has {
			lacking++
		}
	}
	needed := min(r.config.Copies, len(r.peers)+1)
	return copies >= needed || heard < needed && lacking == 0
}

// isUnresponsive reports whether a peer is cut off, or ended, as far as can be told.
func (r *Replica) isUnresponsive(peer *peer, since, now time.Time) bool {
	if now.Sub(peer.lastContact) > r.config.PeerTimeout {
		return true
	}
	return peer.lastContact.Before(since) && now.Sub(since) > r.config.AnswerTimeout
}

// Read returns the sum of a tally, if all adds of a vector are here.
func (r *Replica) Read(tally string, after Vector, now time.Time) (int64, Result) {
	switch {
	case !r.set.Vector().Covers(after):
		return 0, ResultBehind
	case !r.caughtUp && len(r.peers) > 0 && now.Sub(r.startedAt) < r.config.StartupTimeout:
		return 0, ResultStarted
	}
	return r.set.Total(tally), ResultOK
}

// Abandon forgets the changes that have waited since before a time; they are not answered.
func (r *Replica) Abandon(before time.Time) {
	r.changes = slices.DeleteFunc(r.changes, func(c change) bool { return c.since.Before(before) })
}

// TakeMessages returns what is to be sent.
func (r *Replica) TakeMessages() []Envelope {
	taken := r.outbox
	r.outbox = nil
	return taken
}

// PeerState is what a replica knows of a peer, for operators.
type PeerState struct {
	ID          string
	LastContact time.Time // zero: never
	// Lacks is how many adds that are here are not known to be on the peer's disk.
	Lacks uint64
}

// Peers lists what is known of the peers, by their IDs.
func (r *Replica) Peers() []PeerState {
	states := make([]PeerState, 0, len(r.peers))
	for _, id := range r.peerIDs() {
		state := PeerState{ID: id, LastContact: r.peers[id].lastContact}
		for origin, number := range r.set.Vector() {
			state.Lacks += number - min(number, r.peers[id].vector.numbers[origin])
		}
		states = append(states, state)
	}
	return states
}

// Adds is the number of adds that are known by their IDs.
func (r *Replica) Adds() int { return r.set.Len() }

// Totals returns all tallies with their sums. The caller must not change it.
func (r *Replica) Totals() map[string]int64 { return r.set.Totals() }

// send sends a message with what has changed of this replica's vector since the one to the
// peer before.
func (r *Replica) send(to string, message Message) {
	peer := r.peers[to]
	message.Digest, message.Contents = r.set.Digest(), r.set.Contents()
	if message.Whole {
		message.Vector = maps.Clone(r.set.Vector())
	} else {
		message.Vector = make(Vector, len(peer.changed))
		for origin := range peer.changed {
			message.Vector[origin] = r.set.Vector()[origin]
		}
	}
	clear(peer.changed)
	r.outbox = append(r.outbox, Envelope{to, message})
}

func (r *Replica) peerIDs() []string { return slices.Sorted(maps.Keys(r.peers)) }
