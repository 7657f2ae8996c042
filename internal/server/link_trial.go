package server

import (
	"context"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/transport"
)

const (
	// linkProbeSendTime is the time in which the leader normally sends as many bytes as the
	// transfer probes of a measurement contain. minLinkPadding and maxLinkPadding limit the padding
	// of one probe, in bytes.
	linkProbeSendTime = 100 * time.Millisecond
	minLinkPadding    = 1 << 10
	maxLinkPadding    = 32 << 10
	// minLatencyGain and minTransferRatio are how much better another voter's link must be for a
	// leadership transfer.
	minLatencyGain   = 20 * time.Millisecond
	minTransferRatio = 4
	// byteRateInterval is the interval over which the rate of sent bytes is measured.
	byteRateInterval = time.Second
)

// All voters respond late to a leader whose link is too narrow for what it has to send. Late
// responses alone do not tell this from slow disks, long distances or links that are narrow
// everywhere, where another leader would get its responses no sooner. A leader with late responses
// therefore has each voter measure its own link to a quorum with the same probes. It transfers
// leadership only to a voter whose link is clearly better.

// frameLinkProbe carries a linkProbe between replicas.
const frameLinkProbe = byte(68)

// probeKind is the kind of a linkProbe. Its values are part of the wire format.
type probeKind byte

// Kinds of link probes, in the order of a measurement.
const (
	probeMeasure  probeKind = iota // the leader asks a voter to measure its link
	probeLatency                   // a small probe, answered at once
	probeTransfer                  // a probe with padding, answered at once
	probeAnswer                    // the answer to a latency or transfer probe
	probeReport                    // a voter reports its measurement to the leader
)

// linkProbe is a message of a measurement.
type linkProbe struct {
	_    struct{} `cbor:",toarray"`
	From string   // the ID of a member's disk
	To   string
	Kind probeKind
	// Answered is the kind of the probe that a probeAnswer responds to.
	Answered probeKind
	// Trial identifies the measurement by its start time, in ns on the leader's clock.
	Trial int64
	// PaddingBytes is the length of the padding of each transfer probe.
	PaddingBytes int
	Padding      []byte
	Quality      linkQuality // set in a report
}

// linkQuality is the result of a replica's measurement of its link to a quorum.
type linkQuality struct {
	_ struct{} `cbor:",toarray"`
	// Latency is the round-trip time of a small probe. Transfer is how much longer a probe with
	// padding takes while one is sent to each voter.
	Latency, Transfer time.Duration
}

// isClearlyBetter reports whether this link is clearly better than the other.
func (q linkQuality) isClearlyBetter(other linkQuality) bool {
	return other.Latency >= 2*q.Latency+minLatencyGain &&
		other.Transfer >= minTransferRatio*q.Transfer
}

// linkMeasurement is a replica's measurement of its own link.
type linkMeasurement struct {
	trial        int64
	leader       string
	paddingBytes int
	kind         probeKind // of the probes in flight; probeReport if complete
	sentAt       time.Time
	answered     map[string]time.Duration // by voter, for the probes in flight
	quality      linkQuality
}

// linkTrial is a leader's comparison of the links of all voters.
type linkTrial struct {
	id      int64 // 0 if none is running
	endedAt time.Time
	reports map[string]linkQuality // by voter
}

// startLinkTrial has all voters, including this replica, measure their links.
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

// linkPadding returns the padding length with which one probe to each voter amounts to the bytes
// that this leader sends in linkProbeSendTime.
func (r *Replica) linkPadding() int {
	sent := r.sentBytes.perSecond * linkProbeSendTime.Seconds()
	perVoter := int(sent) / max(1, len(r.node.Voters())-1)
	return min(max(perVoter, minLinkPadding), maxLinkPadding)
}

// measureLink starts a measurement of this replica's link, as requested by the leader.
func (r *Replica) measureLink(ctx context.Context, request linkProbe, now time.Time) {
	r.linkMeasurement = linkMeasurement{
		trial: request.Trial, leader: request.From,
		paddingBytes: min(max(request.PaddingBytes, 0), maxLinkPadding),
	}
	r.sendProbes(ctx, probeLatency, now)
}

// sendProbes sends a probe of the given kind to each other voter.
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

// handleLinkProbe handles a message of a measurement.
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

// handleProbeAnswer records an answer, and advances the measurement once a quorum has answered.
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

// currentQuality returns what is known so far of this replica's link. The time for which probes
// have been in flight counts, so that a leader need not wait for the answers to its own probes.
func (m *linkMeasurement) currentQuality(now time.Time) linkQuality {
	quality := m.quality
	switch m.kind {
	case probeLatency:
		quality.Latency = now.Sub(m.sentAt)
	case probeTransfer:
		quality.Transfer = max(0, now.Sub(m.sentAt)-quality.Latency)
	}
	return quality
}

// voterWithBetterLink returns the ID of the voter with the best link among those that have reported
// a clearly better link than this leader's own, or "" if there is none.
func (r *Replica) voterWithBetterLink(now time.Time) string {
	own, best := r.linkMeasurement.currentQuality(now), ""
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

// byteRate measures bytes per second over intervals of byteRateInterval.
type byteRate struct {
	perSecond float64
	bytes     int // since startedAt
	startedAt time.Time
}

func (b *byteRate) add(bytes int) { b.bytes += bytes }

// update recomputes the rate once byteRateInterval has passed.
func (b *byteRate) update(now time.Time) {
	if elapsed := now.Sub(b.startedAt); elapsed >= byteRateInterval {
		b.perSecond, b.bytes, b.startedAt = float64(b.bytes)/elapsed.Seconds(), 0, now
	}
}
