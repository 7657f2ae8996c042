package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/fleet"
	"tealpond/internal/member"
	"tealpond/internal/setting"
	"tealpond/internal/tune"
)

// Exit codes of tools.
const (
	exitUnknown = 3
	exitNobody  = 4
	exitFaulty  = 5
)

// addTools adds the commands that are no daemons.
func addTools(app *kingpin.Application, jobs map[string]func() int, out, bad io.Writer) {
	c := app.Command("check", "Check a settings file (TOML) or a configuration (JSON); each fault is printed with its place.")
	file := c.Arg("file", "The file.").Required().String()
	jobs[c.FullCommand()] = func() int { return check(*file, out, bad) }

	t := app.Command("trace", "Follow one change through all daemons.")
	tid := t.Arg("id", "A job's ID, a task's name, or desired/VERSION.").Required().String()
	tat := t.Flag("at", "A daemon's address for daemons (HOST:PORT, the first inner port); may be repeated.").Required().Strings()
	jobs[t.FullCommand()] = func() int { return follow(*tat, *tid, out, bad) }

	r := app.Command("record", "Show each deferrable job: where it ran, when, and that it finished once.")
	cl := r.Flag("cluster", "NAME=HOST:PORT of a daemon of each cluster; repeated.").Required().StringMap()
	in := r.Flag("inbox", "A queue whose jobs are deferrable; repeated. Jobs that moved are always shown.").Strings()
	jobs[r.FullCommand()] = func() int { return record(*cl, *in, out, bad) }

	q := app.Command("query", "Answer one SELECT over daemons, workers, devices, bookings, allocs, inboxes, jobs and rollups.")
	text := q.Arg("sql", "The query.").Required().String()
	qat := q.Flag("at", "A daemon's address for daemons; may be repeated.").Required().Strings()
	most := q.Flag("limit", "The most rows that are printed.").Default("1000").Int()
	jobs[q.FullCommand()] = func() int { return query(*qat, *text, *most, out, bad) }
}

func fault(bad io.Writer, err error) int {
	fmt.Fprintln(bad, "tealpond:", err)
	if errors.Is(err, fleet.ErrNobody) {
		return exitNobody
	}
	return exitFault
}

func check(file string, out, bad io.Writer) int {
	raw, err := os.ReadFile(file)
	if err != nil {
		return fault(bad, err)
	}
	if strings.HasPrefix(strings.TrimSpace(string(raw)), "{") {
		if _, err = clusterconfig.Parse(raw); err == nil {
			err = clusterconfig.Validate(raw)
		}
	} else {
		_, err = setting.Parse(file, raw)
	}
	if err != nil {
		return fault(bad, err)
	}
	fmt.Fprintln(out, "ok")
	return exitOK
}

func follow(at []string, id string, out, bad io.Writer) int {
	ctx, stop := context.WithTimeout(context.Background(), tune.ToolTime)
	defer stop()
	p, err := fleet.Follow(ctx, at, id)
	if err != nil {
		return fault(bad, err)
	}
	for _, s := range p.Steps {
		fmt.Fprintf(out, "at=%s node=%s id=%s what=%q n=%d text=%q\n", time.Unix(0, s.TimeNs).UTC().Format("15:04:05.000000"), s.Node, s.Subject, s.Action, s.Value, s.Detail)
	}
	for _, n := range p.Silent {
		fmt.Fprintf(bad, "tealpond: %s did not answer: its part is missing\n", n)
	}
	var nodes []string
	for n := range p.Since {
		nodes = append(nodes, n)
	}
	sort.Strings(nodes)
	for _, n := range nodes {
		fmt.Fprintf(bad, "tealpond: %s remembers since %s only\n", n, time.Unix(0, p.Since[n]).UTC().Format("15:04:05.000"))
	}
	if len(p.Steps) == 0 {
		fmt.Fprintf(bad, "tealpond: nothing is known of %s\n", id)
		return exitUnknown
	}
	return exitOK
}

func record(at map[string]string, inboxes []string, out, bad io.Writer) int {
	ctx, stop := context.WithTimeout(context.Background(), tune.ToolTime)
	defer stop()
	all := map[string]member.Fleet{}
	for n, a := range at {
		f, err := fleet.Fetch(ctx, []string{a})
		if err != nil {
			return fault(bad, fmt.Errorf("%s: %w", n, err))
		}
		all[n] = f
	}
	code := exitOK
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "job\tcluster\tran\tstate\tborn_ms\tended_ms\tfault")
	for _, e := range fleet.Record(all, inboxes) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", e.Job, e.Cluster, e.Ran, e.State, e.BornMs, e.EndedMs, e.Fault)
		if e.Fault != "" {
			code = exitFaulty
		}
	}
	_ = w.Flush()
	return code
}

func query(at []string, text string, most int, out, bad io.Writer) int {
	ctx, stop := context.WithTimeout(context.Background(), tune.ToolTime)
	defer stop()
	f, err := fleet.Fetch(ctx, at)
	if err != nil {
		return fault(bad, err)
	}
	r, err := fleet.Query(ctx, f, text, most)
	if err != nil {
		return fault(bad, err)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(r.Cols, "\t"))
	for _, x := range r.Rows {
		fmt.Fprintln(w, strings.Join(x, "\t"))
	}
	_ = w.Flush()
	if r.Cut {
		fmt.Fprintf(bad, "tealpond: only the first %d rows are printed\n", most)
	}
	if len(r.Short) > 0 {
		fmt.Fprintf(bad, "tealpond: %s gave only a part of: %s\n", r.From, strings.Join(r.Short, ", "))
	}
	return exitOK
}
