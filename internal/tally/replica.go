package tally

import (
	"maps"
	"slices"
	"time"
)

// RequestTimeout bounds a call by an application, which tries another daemon after one second.
const RequestTimeout = 900 * time.Millisecond

// Config configures a Replica.
type Config struct {
	// Origin identifies the file on this replica's disk among all files that ever existed.
	Origin string
	// Copies is the number of disks that must hold an add before it is acknowledged.
	Copies int
	// PeerTimeout is the time without contact after which a peer counts as unresponsive,
	// AnswerTimeout how long a peer may take to answer a message with a new add.
	PeerTimeout, AnswerTimeout time.Duration
	// ExchangeInterval is the time between two exchanges of vectors with each peer, RepeatInterval
	// the time after which unconfirmed adds are sent to a peer again.
	ExchangeInterval, RepeatInterval time.Duration
	// StartupTimeout is how long a replica refuses reads after it has started and knows its peers, unless
	// it has caught up with one of them.
	StartupTimeout time.Duration
	// MaxBytes bounds the file size, in bytes: beyond it new adds are refused.
	MaxBytes int64
	// MaxMessageAdds bounds the number of adds in a message.
	MaxMessageAdds int
}

// Result is the outcome of a change or a read.
type Result int

// Results of a change or a read.
const (
	ResultOK       Result = iota
	ResultFull            // the file has no room for another add
	ResultBehind          // a read requires adds that are not here, or the file lacks adds of its own origin
	ResultStarting        // the replica has just started, and may lack adds that it acknowledged
)

// peer is what this replica knows of another one.
type peer struct {
	vector        peerVector          // what it has on its disk
	unsentOrigins map[string]struct{} // origins that changed since the last message to it
	lastSent      uint64              // the highest number of this origin that was sent to it
	lastContact   time.Time           // zero: never
	sentAt        time.Time           // when adds of this origin were last sent to it
	knownSince    time.Time           // when it became a peer
}

// Replica is one replica as a state machine: inputs change it, and the writes and messages that
// result are taken from it afterwards. It is not safe for concurrent use.
type Replica struct {
	config         Config
	set            *Set
	fileBytes      int64 // size of the file
	toWrite        []Run // the next write
	writing        []Run // the write in progress
	peersToAnswer  []string
	peers          map[string]*peer
	pendingChanges []change
	outbox         []Envelope
	lastExchangeAt time.Time
	startedAt      time.Time // when it was created, or first knew all other replicas
	caughtUp       bool
	membersKnown   bool // peers holds all other replicas

	activeComparison *activeComparison // nil: no comparison is in progress
	replacing        map[Position]bool
	differences      Differences
}

// NewReplica returns a replica with the contents of its file, whose size is fileBytes.
func NewReplica(config Config, stored []Run, fileBytes int64, now time.Time) *Replica {
	r := &Replica{config: config, set: NewSet(), fileBytes: fileBytes,
		peers: map[string]*peer{}, startedAt: now, replacing: map[Position]bool{}}
	for _, run := range stored {
		r.set.Stage(run)
		r.set.MarkWritten(run)
	}
	return r
}

// SetPeers sets the other replicas. What is known of those that remain is kept. membersKnown reports
// whether these are all of them: until then an add is acknowledged only if it is on Copies disks that
// have confirmed it, since the silence of a peer that isn't known says nothing.
func (r *Replica) SetPeers(ids []string, membersKnown bool, now time.Time) {
	if membersKnown && !r.membersKnown {
		r.startedAt = now // until now it could not ask them for what it lacks
	}
	r.membersKnown = membersKnown
	for _, id := range ids {
		if r.peers[id] == nil {
			r.peers[id] = &peer{vector: peerVector{numbers: Vector{}}, unsentOrigins: map[string]struct{}{}, knownSince: now}
		}
	}
	maps.DeleteFunc(r.peers, func(id string, _ *peer) bool { return !slices.Contains(ids, id) })
}

// Change adds to a tally; done is called with the add's position once it is acknowledged. An add
// with a known ID doesn't count again, and is acknowledged under the same conditions.
func (r *Replica) Change(add Add, now time.Time, done func(Result, Position)) {
	position, known := r.set.Find(add.ID)
	if !known {
		switch {
		case r.isRolledBack():
			done(ResultBehind, Position{})
			return
		case r.FileUsage() >= 1:
			done(ResultFull, Position{})
			return
		}
		position = r.append(add)
	}
	r.pendingChanges = append(r.pendingChanges, change{position, now, done})
	r.acknowledge(now)
}

// FileUsage returns the file size as a fraction of MaxBytes; 1 or more means full.
func (r *Replica) FileUsage() float64 { return float64(r.fileBytes) / float64(r.config.MaxBytes) }

// append assigns the next number of this origin to an add.
//
// No peer learns of the add before it is on the disk here. So all numbers that peers know are in
// the file, the process that opens the file next continues after them, and a number identifies one
// add permanently. There are no more origins than there were files.
func (r *Replica) append(add Add) Position {
	run := Run{Origin: r.config.Origin, First: r.set.LastNumber(r.config.Origin) + 1, Adds: []Add{add}}
	r.toWrite = append(r.toWrite, r.set.Stage(run))
	return Position{Origin: run.Origin, Number: run.First}
}

// isRolledBack reports whether a peer has adds of this origin that are not here: the file is an
// older copy of itself. The peer sends them back, and until then no number is assigned.
func (r *Replica) isRolledBack() bool {
	newest := r.set.LastNumber(r.config.Origin)
	for _, peer := range r.peers {
		if peer.vector.numbers[r.config.Origin] > newest {
			return true
		}
	}
	return false
}

// sendNewAdds sends each peer the adds of this origin that were not sent to it yet.
func (r *Replica) sendNewAdds(now time.Time) {
	for _, id := range r.peerIDs() {
		peer := r.peers[id]
		known := max(peer.lastSent, peer.vector.numbers[r.config.Origin])
		run := r.set.OriginAddsAfter(r.config.Origin, known, r.config.MaxMessageAdds)
		if len(run.Adds) == 0 {
			continue
		}
		peer.lastSent, peer.sentAt = run.Last(), now
		r.send(id, Message{Runs: []Run{run}})
	}
}

// Receive handles a message from a peer.
func (r *Replica) Receive(from string, message Message, now time.Time) {
	sender := r.peers[from]
	if sender == nil {
		return
	}
	sender.lastContact = now
	sender.vector.update(&message, r.set)
	for _, run := range message.Runs {
		if staged := r.set.Stage(run); len(staged.Adds) > 0 {
			r.toWrite = append(r.toWrite, staged)
		}
	}
	switch {
	case len(message.Runs) > 0 && !slices.Contains(r.peersToAnswer, from):
		r.peersToAnswer = append(r.peersToAnswer, from) // answered once the adds are on the disk
	case message.Exchange || message.AskWhole:
		r.answerExchange(from, sender, message.AskWhole)
	case !sender.vector.complete:
		r.send(from, Message{AskWhole: true})
	}
	if message.Comparison != nil {
		r.handleComparison(from, message.Comparison, now)
	}
	if message.Digest == r.set.Digest() && message.Contents != r.set.Contents() {
		r.startComparison(from, now)
	}
	if !r.caughtUp && sender.vector.complete && r.set.Vector().Covers(sender.vector.numbers) {
		r.caughtUp = true
	}
	r.acknowledge(now)
}

// answerExchange sends a peer the adds that it is known to lack, and this replica's complete vector
// if requested.
func (r *Replica) answerExchange(id string, peer *peer, includeVector bool) {
	reply := Message{Whole: includeVector, AskWhole: !peer.vector.complete}
	if peer.vector.complete && peer.vector.digest != r.set.Digest() {
		reply.Runs = r.set.AddsAfter(peer.vector.numbers, r.config.MaxMessageAdds)
	}
	r.send(id, reply)
}

// TakeWrites returns the next write; nil if there is none, or if a write is in progress. Written
// must be called once it is on the disk.
func (r *Replica) TakeWrites() []Run {
	if r.writing != nil || len(r.toWrite) == 0 && len(r.peersToAnswer) == 0 {
		return nil
	}
	if len(r.toWrite) == 0 {
		r.answerPeers() // all adds that they sent are on the disk already
		return nil
	}
	r.writing, r.toWrite = r.toWrite, nil
	return r.writing
}

// Written records that the result of TakeWrites is on the disk, and the new size of the file in
// bytes.
func (r *Replica) Written(fileBytes int64, now time.Time) {
	for _, run := range r.writing {
		r.markWritten(run)
		for _, peer := range r.peers {
			peer.unsentOrigins[run.Origin] = struct{}{}
		}
	}
	r.writing, r.fileBytes = nil, fileBytes
	r.sendNewAdds(now)
	if len(r.toWrite) == 0 {
		r.answerPeers()
	}
	r.acknowledge(now)
}

// answerPeers confirms to the peers that sent adds what is on the disk now. It also requests the
// rest of what they have, since a message holds a bounded number of adds.
func (r *Replica) answerPeers() {
	for _, id := range r.peersToAnswer {
		if peer := r.peers[id]; peer != nil {
			r.send(id, Message{Exchange: peer.vector.complete && !r.set.Vector().Covers(peer.vector.numbers),
				AskWhole: !peer.vector.complete})
		}
	}
	r.peersToAnswer = nil
}

// Tick does periodic work: sends adds again that peers have not confirmed, and exchanges vectors.
func (r *Replica) Tick(now time.Time) {
	for _, peer := range r.peers {
		if durable := peer.vector.numbers[r.config.Origin]; durable < peer.lastSent &&
			now.Sub(peer.sentAt) >= r.config.RepeatInterval {
			peer.lastSent = durable
		}
	}
	r.sendNewAdds(now)
	r.tickComparison(now)
	if now.Sub(r.lastExchangeAt) >= r.config.ExchangeInterval {
		r.lastExchangeAt = now
		for _, id := range r.peerIDs() {
			r.send(id, Message{Exchange: true, AskWhole: !r.peers[id].vector.complete})
		}
	}
	r.acknowledge(now)
}

// Read returns the total of a tally, if all adds covered by the vector are here.
func (r *Replica) Read(tally string, after Vector, now time.Time) (int64, Result) {
	switch {
	case !r.set.Vector().Covers(after):
		return 0, ResultBehind
	case !r.caughtUp && len(r.peers) > 0 && now.Sub(r.startedAt) < r.config.StartupTimeout:
		return 0, ResultStarting
	}
	return r.set.Total(tally), ResultOK
}

// TakeMessages returns the messages to be sent.
func (r *Replica) TakeMessages() []Envelope {
	taken := r.outbox
	r.outbox = nil
	return taken
}

// PeerState is what a replica knows of a peer, for operators.
type PeerState struct {
	ID          string
	LastContact time.Time // zero: never
	// Lacks is how many adds that are on the disk here are not known to be on the peer's disk.
	Lacks uint64
}

// Peers returns the state of all peers, sorted by ID.
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

// AddCount returns the number of different IDs among the adds.
func (r *Replica) AddCount() int { return r.set.Len() }

// Totals returns the totals of all tallies. The caller must not modify it.
func (r *Replica) Totals() map[string]int64 { return r.set.Totals() }

// send sends a message with the part of this replica's vector that changed since the previous
// message to the peer.
func (r *Replica) send(to string, message Message) {
	peer := r.peers[to]
	message.Digest, message.Contents = r.set.Digest(), r.set.Contents()
	if message.Whole {
		message.Vector = maps.Clone(r.set.Vector())
	} else {
		message.Vector = make(Vector, len(peer.unsentOrigins))
		for origin := range peer.unsentOrigins {
			message.Vector[origin] = r.set.Vector()[origin]
		}
	}
	clear(peer.unsentOrigins)
	r.outbox = append(r.outbox, Envelope{to, message})
}

func (r *Replica) peerIDs() []string { return slices.Sorted(maps.Keys(r.peers)) }
