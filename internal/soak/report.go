package soak

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Limits of a report.
const (
	// timelineBefore and timelineAfter limit the timeline to a period around the first violation.
	timelineBefore = time.Second
	timelineAfter  = 500 * time.Millisecond
	// maxViolationLines is the number of violations that are shown individually.
	maxViolationLines = 6
	// maxTimelineLines is the number of lines of the timeline.
	maxTimelineLines = 120
)

// Summary returns the counts of requests, exits, outcomes, statuses and violations in one line.
func (r Result) Summary() string {
	outcomes, statuses := map[Outcome]int{}, map[int]int{}
	for _, request := range r.Record.Requests {
		outcomes[request.Outcome]++
		if request.Outcome == OutcomeAnswered {
			statuses[request.Status]++
		}
	}
	text := fmt.Sprintf("seed %d (%s): %d requests, %d reached runners, %d processes exited", r.Schedule.Seed, r.Schedule.Scenario, len(r.Record.Requests), len(r.Record.Runs), len(r.Record.Exits))
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		text += fmt.Sprintf(", %d %s", outcomes[outcome], outcome)
	}
	for _, status := range slices.Sorted(maps.Keys(statuses)) {
		text += fmt.Sprintf(", %d x %d", statuses[status], status)
	}
	return text + fmt.Sprintf("; %d violations", len(r.Violations))
}

// Report returns the summary, the schedule, the number of violations by rule and profile, the first
// violations, and a timeline of the events around the first one.
func (r Result) Report() string {
	var text strings.Builder
	text.WriteString(r.Summary() + "\n" + r.Schedule.String())
	counts := map[string]int{}
	for _, violation := range r.Violations {
		counts[violation.Rule+", "+violation.Request.Profile]++
	}
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&text, "%5d %s\n", counts[kind], kind)
	}
	violations := slices.SortedFunc(slices.Values(r.Violations), func(a, b Violation) int {
		return a.Request.EndedAt.Compare(b.Request.EndedAt)
	})
	for _, violation := range violations[:min(len(violations), maxViolationLines)] {
		fmt.Fprintf(&text, "%s %s (%s)\n", r.clock(violation.Request.EndedAt), violation, violation.Request.Error)
	}
	if len(violations) > 0 {
		text.WriteString(r.timeline(violations[0].Request))
	}
	return text.String()
}

// clock formats a time as seconds since the load began.
func (r Result) clock(at time.Time) string {
	return fmt.Sprintf("%9.4f s", at.Sub(r.StartedAt).Seconds())
}

// timelineEntry is one line of the timeline.
type timelineEntry struct {
	at   time.Time
	text string
}

// timeline lists what happened around the end of a request: all actions, exits and log lines, and the
// requests at its daemon that were not answered.
func (r Result) timeline(around Request) string {
	var entries []timelineEntry
	add := func(at time.Time, format string, args ...any) {
		near := at.After(around.EndedAt.Add(-timelineBefore)) && at.Before(around.EndedAt.Add(timelineAfter))
		if near {
			entries = append(entries, timelineEntry{at, fmt.Sprintf(format, args...)})
		}
	}
	for _, action := range r.Record.Actions {
		add(action.At, "** %s %s", action.Daemon, action.What)
	}
	for _, exit := range r.Record.Exits {
		add(exit.At, "** %s exited: %s", exit.Daemon, exit.State)
	}
	for _, line := range r.Log {
		add(line.At, "%s: %s", line.Daemon, line.Text)
	}
	for _, request := range r.Record.Requests {
		if request.Daemon == around.Daemon && (request.Outcome != OutcomeAnswered || request.ID == around.ID) {
			add(request.SentAt, "%s (%s) sent to %s", request.ID, request.Profile, request.Daemon)
			add(request.EndedAt, "%s (%s) %s %d %s", request.ID, request.Profile, request.Outcome, request.Status, request.Error)
		}
	}
	for _, known := range r.Record.Runs[around.ID] {
		add(known.StartedAt, "%s: run begins at runner %s", around.ID, known.RunnerID)
		add(known.EndedAt, "%s: run ends at runner %s, aborted: %v", around.ID, known.RunnerID, known.Aborted)
	}
	slices.SortStableFunc(entries, func(a, b timelineEntry) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	var text strings.Builder
	fmt.Fprintf(&text, "timeline around %s:\n", r.clock(around.EndedAt))
	for _, m := range entries[:min(len(entries), maxTimelineLines)] {
		fmt.Fprintf(&text, "%s %s\n", r.clock(m.at), m.text)
	}
	return text.String()
}
