package soak

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Bounds of what a report shows.
const (
	// timelineBefore and timelineAfter are the times around the first violation.
	timelineBefore = time.Second
	timelineAfter  = 500 * time.Millisecond
	// maxViolationLines is how many violations are shown one by one.
	maxViolationLines = 6
	// maxTimelineLines bounds the timeline.
	maxTimelineLines = 120
)

// Summary counts what a run did, in one line.
func (r Result) Summary() string {
	endings, statuses := map[Ending]int{}, map[int]int{}
	for _, request := range r.Record.Requests {
		endings[request.Ending]++
		if request.Ending == EndAnswered {
			statuses[request.Status]++
		}
	}
	text := fmt.Sprintf("seed %d (%s): %d requests, %d reached runners, %d processes ended", r.Schedule.Seed, r.Schedule.Trouble, len(r.Record.Requests), len(r.Record.Runs), len(r.Record.Exits))
	for _, ending := range slices.Sorted(maps.Keys(endings)) {
		text += fmt.Sprintf(", %d %s", endings[ending], ending)
	}
	for _, status := range slices.Sorted(maps.Keys(statuses)) {
		text += fmt.Sprintf(", %d x %d", statuses[status], status)
	}
	return text + fmt.Sprintf("; %d violations", len(r.Violations))
}

// Report shows the schedule, the violations by rule and habit, and one timeline of all
// that is known around the first of them.
func (r Result) Report() string {
	var text strings.Builder
	text.WriteString(r.Summary() + "\n" + r.Schedule.String())
	counts := map[string]int{}
	for _, violation := range r.Violations {
		counts[violation.Rule+", "+violation.Request.Habit]++
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

// clock is a time as the seconds since the load began.
func (r Result) clock(at time.Time) string {
	return fmt.Sprintf("%9.4f s", at.Sub(r.BeganAt).Seconds())
}

// moment is a line of the timeline.
type moment struct {
	at   time.Time
	text string
}

// timeline shows what happened around the end of a request, at its daemon.
func (r Result) timeline(around Request) string {
	var moments []moment
	add := func(at time.Time, format string, args ...any) {
		near := at.After(around.EndedAt.Add(-timelineBefore)) && at.Before(around.EndedAt.Add(timelineAfter))
		if near {
			moments = append(moments, moment{at, fmt.Sprintf(format, args...)})
		}
	}
	for _, action := range r.Record.Actions {
		add(action.At, "** %s %s", action.Daemon, action.What)
	}
	for _, exit := range r.Record.Exits {
		add(exit.At, "** %s ended: %s", exit.Daemon, exit.State)
	}
	for _, line := range r.Log {
		add(line.At, "%s: %s", line.Daemon, line.Text)
	}
	for _, request := range r.Record.Requests {
		if request.Daemon == around.Daemon && (request.Ending != EndAnswered || request.ID == around.ID) {
			add(request.SentAt, "%s (%s) is sent to %s", request.ID, request.Habit, request.Daemon)
			add(request.EndedAt, "%s (%s) %s %d %s", request.ID, request.Habit, request.Ending, request.Status, request.Error)
		}
	}
	for _, known := range r.Record.Runs[around.ID] {
		add(known.BeganAt, "%s begins at runner %s", around.ID, known.Runner)
		add(known.EndedAt, "%s ends at runner %s, broken off %v", around.ID, known.Runner, known.Broken)
	}
	slices.SortStableFunc(moments, func(a, b moment) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	var text strings.Builder
	fmt.Fprintf(&text, "around %s:\n", r.clock(around.EndedAt))
	for _, m := range moments[:min(len(moments), maxTimelineLines)] {
		fmt.Fprintf(&text, "%s %s\n", r.clock(m.at), m.text)
	}
	return text.String()
}
