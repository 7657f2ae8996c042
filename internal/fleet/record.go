package fleet

import (
	"fmt"
	"sort"

	"tealpond/internal/member"
)

// Entry is one deferrable job in the record of a day.
type Entry struct {
	Job     string
	Cluster string // where it was handed in
	Ran     string // where it ran, or is
	State   string
	BornMs  int64
	EndedMs int64
	Fault   string // missing or doubled, and why
}

type row map[string]any

func rowsOf(f member.Fleet, name string) []row {
	var out []row
	for _, t := range f.Tables {
		if t.Name != name {
			continue
		}
		for _, r := range t.Rows {
			x := row{}
			for i, c := range t.Cols {
				x[c] = r[i]
			}
			out = append(out, x)
		}
	}
	return out
}

func (r row) text(c string) string { return fmt.Sprint(r[c]) }

func (r row) num(c string) int64 {
	switch v := r[c].(type) {
	case uint64:
		return int64(v)
	case int64:
		return v
	}
	return 0
}

// Record joins the states of clusters, by name, into one entry a deferrable
// job: those of the queues named, and all that moved.
func Record(clusters map[string]member.Fleet, inboxes []string) []Entry {
	want := map[string]bool{}
	for _, n := range inboxes {
		want[n] = true
	}
	var names []string
	for n := range clusters {
		names = append(names, n)
	}
	sort.Strings(names)
	guests := map[string][]row{} // by job, with the cluster that has it
	for _, n := range names {
		for _, m := range rowsOf(clusters[n], "moves") {
			if m["guest"] == true {
				m["at"] = n
				guests[m.text("job")] = append(guests[m.text("job")], m)
			}
		}
	}
	var out []Entry
	for _, n := range names {
		moved := map[string]row{}
		for _, m := range rowsOf(clusters[n], "moves") {
			moved[m.text("job")] = m
		}
		for _, j := range rowsOf(clusters[n], "jobs") {
			m := moved[j.text("id")]
			if m != nil && m["guest"] == true || m == nil && !want[j.text("inbox")] {
				continue
			}
			out = append(out, entry(n, j, m, guests[j.text("id")]))
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Job < out[b].Job })
	return out
}

func entry(cluster string, j, m row, guests []row) Entry {
	e := Entry{Job: j.text("id"), Cluster: cluster, Ran: cluster, State: j.text("state"), BornMs: j.num("born_ms"), EndedMs: j.num("ended_ms")}
	done := 0
	var at []string
	for _, g := range guests {
		if g.text("job_state") == "done" {
			done++
			at = append(at, g.text("at"))
		}
	}
	away := m != nil && m.text("state") != "home"
	if away {
		e.Ran = m.text("peer")
	}
	switch {
	case e.State == "called_off":
	case e.State == "failed":
		e.Fault = "missing: it failed"
	case e.State != "done" && m != nil && m.text("state") == "offered":
		e.Fault = "missing: unclear who has it, " + m.text("peer") + " has not said"
	case e.State != "done":
		e.Fault = "missing: not finished yet"
	case !away && done > 0:
		e.Fault = fmt.Sprintf("doubled: done here and at %v", at)
	case away && done > 1:
		e.Fault = fmt.Sprintf("doubled: done at %v", at)
	}
	return e
}
