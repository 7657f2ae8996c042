package server

import (
	"context"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/transport"
)

const (
	// linkProbeShare is the time within which a leader sends as many bytes as the probes of a
	// comparison have; minLinkPadding and maxLinkPadding bound the padding of each, in bytes.
	linkProbeShare = 100 * time.Millisecond
	minLinkPadding = 1 << 10
	maxLinkPadding = 32 << 10
	// minLatencyGain and minTransferRatio tell how much better the link of another voter must be for a
	// handover.
	minLatencyGain   = 20 * time.Millisecond
	minTransferRatio = 4
	// byteRateInterval is the time over which the rate of sent bytes is taken.
	byteRateInterval = time.Second
)

// A leader whose link carries less than it has to send is answered late by all. Late answers alone
// don't tell that from slow disks, long ways or links that are narrow everywhere, where another
// leader is heard no sooner. So a leader that is answered late has each voter measure its own link
// to a quorum by the same probes, and transfers the leadership only to one whose link is clearly better.

// frameLinkProbe carries a linkProbe between replicas.
const frameLinkProbe = byte(68)

// probeKind tells what a linkProbe asks or answers. The numbers are sent.
type probeKind byte

// Kinds of link probes, in the order of a measurement.
const (
	probeMeasure  probeKind = iota // the leader asks a voter to measure its link
	probeLatency                   // a small probe; it is answered at once
	probeTransfer                  // one with padding; it is answered at once
	probeAnswer                    // the answer to either
	probeReport                    // a voter tells the leader what it has measured
)

// linkProbe is a message of a measurement.
type linkProbe struct {
	_    struct{} `cbor:",toarray"`
	From string   // a disk's ID
	To   string
	Kind probeKind
	// Answered is the kind of the probe that a probeAnswer answers.
	Answered probeKind
	// Trial names the measurement: when its leader began it, in ns on that leader's clock.
	Trial int64
	// PaddingBytes is the length of the padding of transfer probes.
	PaddingBytes int
	Padding      []byte
	Quality      linkQuality // in a report
}

// linkQuality is what a replica has measured of its link to a quorum.
type linkQuality struct {
	_ struct{} `cbor:",toarray"`
	// Latency is the round trip of a small probe, Transfer how much longer one with padding
	// takes while one is sent to each voter.
	Latency, Transfer time.Duration
}

// isClearlyBetter reports whether a link would serve a leader better than another one does.
func (q linkQuality) isClearlyBetter(than linkQuality) bool {
	return than.Latency >= 2*q.Latency+minLatencyGain &&
		than.Transfer >= minTransferRatio*q.Transfer
}

// linkMeasurement is a replica's measurement of its own link.
type linkMeasurement struct {
	trial        int64
	leader       string
	paddingBytes int
	kind         probeKind // of the probes that are on their way; probeReport: it is complete
	sentAt       time.Time
	answered     map[string]time.Duration // by voter, of the probes that are on their way
	quality      linkQuality
}

// linkTrial is a leader's comparison of all voters' links.
type linkTrial struct {
	id      int64 // 0: none is under way
	endedAt time.Time
	reports map[string]linkQuality // by voter
}

// startLinkTrial has all voters measure their links, this replica too.
func (r *Replica) startLinkTrial(ctx context.Context, now time.Time) {
	trial := &r.linkTrial
	trial.id, trial.reports = now.UnixNano(), map[string]linkQuality{}
	padding := r.linkPadding()
	for _, voter := range r.node.Voters() {
		if voter.ID != r.self.ID {
			r.sendLinkProbe(ctx, linkProbe{To: voter.ID, Kind: probeMeasure, Trial: trial.id, PaddingBytes: padding})
		}
	}
	r.measureLink(ctx, linkProbe{From: r.self.ID, Trial: trial.id, PaddingBytes: padding}, now)
}

// linkPadding is the length of the padding with which a probe to each voter is as much as this
// leader sends them in linkProbeShare.
func (r *Replica) linkPadding() int {
	sent := r.sentBytes.perSecond * linkProbeShare.Seconds()
	perVoter := int(sent) / max(1, len(r.node.Voters())-1)
	return min(max(perVoter, minLinkPadding), maxLinkPadding)
}

// measureLink begins to measure this replica's link, by order of the leader.
func (r *Replica) measureLink(ctx context.Context, order linkProbe, now time.Time) {
	r.linkMeasurement = linkMeasurement{
		trial: order.Trial, leader: order.From,
		paddingBytes: min(max(order.PaddingBytes, 0), maxLinkPadding),
	}
	r.sendProbes(ctx, probeLatency, now)
}

// sendProbes sends a probe of a kind to each other voter.
func (r *Replica) sendProbes(ctx context.Context, kind probeKind, now time.Time) {
	measurement := &r.linkMeasurement
	measurement.kind, measurement.sentAt, measurement.answered = kind, now, map[string]time.Duration{}
	probe := linkProbe{Kind: kind, Trial: measurement.trial}
	if kind == probeTransfer {
		probe.Padding = make([]byte, measurement.paddingBytes)
	}
	for _, voter := range r.node.Voters() {
		if voter.ID != r.self.ID {
			probe.To = voter.ID
			r.sendLinkProbe(ctx, probe)
		}
	}
}

// sendLinkProbe sends a message of a measurement to another replica.
func (r *Replica) sendLinkProbe(ctx context.Context, probe linkProbe) {
	probe.From = r.self.ID
	r.sendFrame(ctx, probe.To, transport.Frame{Kind: frameLinkProbe, Body: transport.Encode(probe)})
}

// handleLinkProbe takes a message of a measurement.
func (r *Replica) handleLinkProbe(ctx context.Context, body []byte, stream *transport.Stream) {
	var probe linkProbe
	if transport.Decode(body, &probe) != nil || probe.To != r.self.ID || r.node == nil || !r.node.IsVoter(probe.From) {
		return
	}
	r.peers.inbound[probe.From] = stream
	now := time.Now()
	switch probe.Kind {
	case probeMeasure:
		if probe.From == r.node.Leader() && r.node.IsVoter(r.self.ID) {
			r.measureLink(ctx, probe, now)
		}
	case probeLatency, probeTransfer:
		r.sendLinkProbe(ctx, linkProbe{To: probe.From, Kind: probeAnswer, Answered: probe.Kind, Trial: probe.Trial})
	case probeAnswer:
		r.handleProbeAnswer(ctx, probe, now)
	case probeReport:
		if probe.Trial == r.linkTrial.id {
			r.linkTrial.reports[probe.From] = probe.Quality
		}
	}
}

// handleProbeAnswer goes on with the measurement once a quorum has answered.
func (r *Replica) handleProbeAnswer(ctx context.Context, answer linkProbe, now time.Time) {
	measurement := &r.linkMeasurement
	if answer.Trial != measurement.trial || answer.Answered != measurement.kind {
		return
	}
	if _, known := measurement.answered[answer.From]; known {
		return
	}
	measurement.answered[answer.From] = now.Sub(measurement.sentAt)
	elapsed := r.node.QuorumDuration(measurement.answered)
	if elapsed == raft.NoQuorum {
		return
	}
	if measurement.kind == probeLatency {
		measurement.quality.Latency = elapsed
		r.sendProbes(ctx, probeTransfer, now)
		return
	}
	measurement.quality.Transfer = max(0, elapsed-measurement.quality.Latency)
	measurement.kind = probeReport
	if measurement.leader != r.self.ID {
		r.sendLinkProbe(ctx, linkProbe{To: measurement.leader, Kind: probeReport, Trial: measurement.trial, Quality: measurement.quality})
	}
}

// ownQuality is what is known by now of this replica's link: the time that probes have been on
// their way counts, so that a leader needn't wait for its own ones to arrive.
func (m *linkMeasurement) ownQuality(now time.Time) linkQuality {
	quality := m.quality
	switch m.kind {
	case probeLatency:
		quality.Latency = now.Sub(m.sentAt)
	case probeTransfer:
		quality.Transfer = max(0, now.Sub(m.sentAt)-quality.Latency)
	}
	return quality
}

// betterVoter is the voter with the best link of those that have reported and whose links are
// clearly better than this leader's own; empty if there is none.
func (r *Replica) betterVoter(now time.Time) string {
	own, best := r.linkMeasurement.ownQuality(now), ""
	for _, voter := range r.node.Voters() {
		quality, reported := r.linkTrial.reports[voter.ID]
		if !reported || !quality.isClearlyBetter(own) {
			continue
		}
		if best == "" || quality.Transfer < r.linkTrial.reports[best].Transfer {
			best = voter.ID
		}
	}
	return best
}

// byteRate is the number of bytes a second over the last byteRateInterval.
type byteRate struct {
	perSecond float64
	bytes     int // since started
	started   time.Time
}

// add counts bytes.
func (b *byteRate) add(bytes int) { b.bytes += bytes }

// update takes the rate anew once byteRateInterval is over.
func (b *byteRate) update(now time.Time) {
	if elapsed := now.Sub(b.started); elapsed >= byteRateInterval {
		b.perSecond, b.bytes, b.started = float64(b.bytes)/elapsed.Seconds(), 0, now
	}
}
