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

	"tealpond/internal/admin"
	"tealpond/internal/clusterconfig"
	"tealpond/internal/rpc"
	"tealpond/internal/settings"
	"tealpond/internal/tuning"
)

// Exit codes of tools.
const (
	exitUnknown      = 3
	exitUnreachable  = 4
	exitInconsistent = 5
)

// addToolCommands adds the commands that are no daemons.
func addToolCommands(app *kingpin.Application, commands map[string]func() int, stdout, stderr io.Writer) {
	checkCommand := app.Command("check", "Check a settings file (TOML) or a configuration (JSON); each fault is printed with its place.")
	file := checkCommand.Arg("file", "The file.").Required().String()
	commands[checkCommand.FullCommand()] = func() int { return checkFile(*file, stdout, stderr) }

	traceCommand := app.Command("trace", "Follow one change through all daemons.")
	traceID := traceCommand.Arg("id", "A job's ID, a task's name, or desired/VERSION.").Required().String()
	traceAddresses := traceCommand.Flag("at", "A daemon's address for daemons (HOST:PORT, the first inner port); may be repeated.").Required().Strings()
	commands[traceCommand.FullCommand()] = func() int { return traceChange(*traceAddresses, *traceID, stdout, stderr) }

	recordCommand := app.Command("record", "Show each deferrable job: where it ran, when, and that it finished once.")
	clusters := recordCommand.Flag("cluster", "NAME=HOST:PORT of a daemon of each cluster; repeated.").Required().StringMap()
	inboxes := recordCommand.Flag("inbox", "A queue whose jobs are deferrable; repeated. Jobs that moved are always shown.").Strings()
	commands[recordCommand.FullCommand()] = func() int { return showRecords(*clusters, *inboxes, stdout, stderr) }

	queryCommand := app.Command("query", "Answer one SELECT over daemons, workers, devices, bookings, allocs, inboxes, jobs and rollups.")
	text := queryCommand.Arg("sql", "The query.").Required().String()
	queryAddresses := queryCommand.Flag("at", "A daemon's address for daemons; may be repeated.").Required().Strings()
	limit := queryCommand.Flag("limit", "The most rows that are printed.").Default("1000").Int()
	commands[queryCommand.FullCommand()] = func() int { return runQuery(*queryAddresses, *text, *limit, stdout, stderr) }
}

func reportError(stderr io.Writer, err error) int {
	fmt.Fprintln(stderr, "tealpond:", err)
	if errors.Is(err, admin.ErrUnreachable) {
		return exitUnreachable
	}
	return exitFault
}

func checkFile(file string, stdout, stderr io.Writer) int {
	raw, err := os.ReadFile(file)
	if err != nil {
		return reportError(stderr, err)
	}
	if strings.HasPrefix(strings.TrimSpace(string(raw)), "{") {
		if _, err = clusterconfig.Parse(raw); err == nil {
			err = clusterconfig.Validate(raw)
		}
	} else {
		_, err = settings.Parse(file, raw)
	}
	if err != nil {
		return reportError(stderr, err)
	}
	fmt.Fprintln(stdout, "ok")
	return exitOK
}

func traceChange(addresses []string, id string, stdout, stderr io.Writer) int {
	ctx, cancel := context.WithTimeout(context.Background(), tuning.ToolTotalTimeout)
	defer cancel()
	change, err := admin.TraceChange(ctx, addresses, id)
	if err != nil {
		return reportError(stderr, err)
	}
	for _, step := range change.Steps {
		fmt.Fprintf(stdout, "at=%s node=%s id=%s what=%q n=%d text=%q\n", time.Unix(0, step.TimeNs).UTC().Format("15:04:05.000000"), step.Node, step.Subject, step.Action, step.Value, step.Detail)
	}
	for _, node := range change.Unreachable {
		fmt.Fprintf(stderr, "tealpond: %s did not answer: its part is missing\n", node)
	}
	var nodes []string
	for node := range change.RemembersSince {
		nodes = append(nodes, node)
	}
	sort.Strings(nodes)
	for _, node := range nodes {
		fmt.Fprintf(stderr, "tealpond: %s remembers since %s only\n", node, time.Unix(0, change.RemembersSince[node]).UTC().Format("15:04:05.000"))
	}
	if len(change.Steps) == 0 {
		fmt.Fprintf(stderr, "tealpond: nothing is known of %s\n", id)
		return exitUnknown
	}
	return exitOK
}

func showRecords(addresses map[string]string, inboxes []string, stdout, stderr io.Writer) int {
	ctx, cancel := context.WithTimeout(context.Background(), tuning.ToolTotalTimeout)
	defer cancel()
	clusters := map[string]rpc.ClusterState{}
	for name, address := range addresses {
		fetched, err := admin.FetchState(ctx, []string{address})
		if err != nil {
			return reportError(stderr, fmt.Errorf("%s: %w", name, err))
		}
		clusters[name] = fetched
	}
	code := exitOK
	table := tabwriter.NewWriter(stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "job\tcluster\tran\tstate\tborn_ms\tended_ms\tfault")
	for _, job := range admin.JobRecords(clusters, inboxes) {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", job.Job, job.Cluster, job.RanOn, job.State, job.SubmittedMs, job.EndedMs, job.Fault)
		if job.Fault != "" {
			code = exitInconsistent
		}
	}
	_ = table.Flush()
	return code
}

func runQuery(addresses []string, query string, limit int, stdout, stderr io.Writer) int {
	ctx, cancel := context.WithTimeout(context.Background(), tuning.ToolTotalTimeout)
	defer cancel()
	cluster, err := admin.FetchState(ctx, addresses)
	if err != nil {
		return reportError(stderr, err)
	}
	result, err := admin.Query(ctx, cluster, query, limit)
	if err != nil {
		return reportError(stderr, err)
	}
	table := tabwriter.NewWriter(stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(result.Columns, "\t"))
	for _, row := range result.Rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	_ = table.Flush()
	if result.Truncated {
		fmt.Fprintf(stderr, "tealpond: only the first %d rows are printed\n", limit)
	}
	if len(result.PartialTables) > 0 {
		fmt.Fprintf(stderr, "tealpond: %s gave only a part of: %s\n", result.Server, strings.Join(result.PartialTables, ", "))
	}
	return exitOK
}
