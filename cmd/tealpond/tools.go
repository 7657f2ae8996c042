package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tealpond/internal/admin"
	"tealpond/internal/clusterconfig"
	"tealpond/internal/rpc"
	"tealpond/internal/settings"
)

// toolTotalTimeout bounds the total duration of a tool's requests.
const toolTotalTimeout = 15 * time.Second

// addTools adds the operators' tools, which run no daemon.
func (p *program) addTools(app *kingpin.Application) {
	checkCommand := app.Command("check",
		"Check a settings file (TOML) or a configuration (JSON), and print faults with their fields.")
	file := checkCommand.Arg("file", "The file.").Required().String()
	p.commands[checkCommand.FullCommand()] = func() int { return p.checkFile(*file) }

	traceCommand := app.Command("trace", "Show the events of one change on all daemons.")
	traceID := traceCommand.Arg("id", "A job's ID, a task's name, or desired/VERSION.").Required().String()
	traceAddresses := traceCommand.
		Flag("at", "A daemon's address for daemons (HOST:PORT, the first inner port); may be repeated.").
		Required().Strings()
	p.commands[traceCommand.FullCommand()] = func() int { return p.traceChange(*traceAddresses, *traceID) }

	recordCommand := app.Command("record",
		"Show each deferrable job: where and when it ran, and whether it finished exactly once.")
	clusters := recordCommand.Flag("cluster",
		"NAME=HOST:PORT of a daemon in each cluster; may be repeated.").Required().StringMap()
	queues := recordCommand.Flag("inbox",
		"A queue whose jobs are deferrable; may be repeated. Jobs that moved are always shown.").Strings()
	p.commands[recordCommand.FullCommand()] = func() int { return p.showRecords(*clusters, *queues) }

	tenantsCommand := app.Command("tenants", "Show the limit, usage and waiting work of each tenant.")
	tenantsAddresses := tenantsCommand.Flag("at", "A daemon's address for daemons; may be repeated.").Required().Strings()
	asJSON := tenantsCommand.Flag("json", "Print one JSON object per line.").Bool()
	p.commands[tenantsCommand.FullCommand()] = func() int {
		return p.showTable(admin.FetchState, *tenantsAddresses, tenantsQuery, *asJSON)
	}
	p.addCoordinationTools(app)

	queryCommand := app.Command("query",
		"Run one SELECT statement over daemons, runners, workers, devices, bookings, allocs, inboxes, jobs, tenants, rollups, locks, numbers, keys, zones, tallies and tally_peers.")
	text := queryCommand.Arg("sql", "The query.").Required().String()
	queryAddresses := queryCommand.Flag("at", "A daemon's address for daemons; may be repeated.").Required().Strings()
	limit := queryCommand.Flag("limit", "Maximum number of rows to print.").Default("1000").Int()
	askLeader := queryCommand.Flag("leader", "Query the leader; only it knows daemons and runners.").Bool()
	p.commands[queryCommand.FullCommand()] = func() int {
		fetch := admin.FetchState
		if *askLeader {
			fetch = admin.FetchLeaderState
		}
		return p.runQuery(fetch, *queryAddresses, *text, *limit)
	}
}

// fail reports an error and returns its exit code.
func (p *program) fail(err error) int {
	p.reportf("%v", err)
	if errors.Is(err, admin.ErrUnreachable) {
		return exitUnreachable
	}
	return exitFault
}

// checkFile validates a settings file, or a configuration if the file starts with a brace.
func (p *program) checkFile(file string) int {
	raw, err := os.ReadFile(file)
	if err != nil {
		return p.fail(err)
	}
	if strings.HasPrefix(strings.TrimSpace(string(raw)), "{") {
		if _, err = clusterconfig.Parse(raw); err == nil {
			err = clusterconfig.Validate(raw)
		}
	} else {
		_, err = settings.Parse(file, raw)
	}
	if err != nil {
		return p.fail(err)
	}
	p.printf("ok\n")
	return exitOK
}

// traceChange prints the events of a change. It reports daemons whose events are missing or
// incomplete.
func (p *program) traceChange(addresses []string, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), toolTotalTimeout)
	defer cancel()
	change, err := admin.TraceChange(ctx, addresses, id)
	if err != nil {
		return p.fail(err)
	}
	for _, step := range change.Steps {
		at := time.Unix(0, step.TimeNs).UTC().Format("15:04:05.000000")
		p.printf("at=%s node=%s id=%s what=%q n=%d text=%q\n", at, step.Node, step.Subject, step.Action, step.Value, step.Detail)
	}
	for _, node := range change.Unreachable {
		p.reportf("%s did not answer; its events are missing", node)
	}
	for _, node := range slices.Sorted(maps.Keys(change.EventsSince)) {
		p.reportf("%s has kept only the events since %s", node,
			time.Unix(0, change.EventsSince[node]).UTC().Format("15:04:05.000"))
	}
	if len(change.Steps) == 0 {
		p.reportf("no events are known for %s", id)
		return exitUnknown
	}
	return exitOK
}

// showRecords prints the deferrable jobs of the given clusters. The map has the address of
// one daemon for each cluster name.
func (p *program) showRecords(addresses map[string]string, queues []string) int {
	ctx, cancel := context.WithTimeout(context.Background(), toolTotalTimeout)
	defer cancel()
	clusters := map[string]rpc.ClusterState{}
	for name, address := range addresses {
		fetched, err := admin.FetchState(ctx, []string{address})
		if err != nil {
			return p.fail(fmt.Errorf("%s: %w", name, err))
		}
		clusters[name] = fetched
	}
	code := exitOK
	rows := [][]string{{"job", "cluster", "ran", "state", "born_ms", "ended_ms", "fault"}}
	for _, job := range admin.JobRecords(clusters, queues) {
		rows = append(rows, []string{job.Job, job.Cluster, job.RanOn, job.State, fmt.Sprint(job.SubmittedMs), fmt.Sprint(job.EndedMs), job.Fault})
		if job.Fault != "" {
			code = exitInconsistent
		}
	}
	if err := p.printTable(rows); err != nil {
		return p.fail(err)
	}
	return code
}

// tenantsQuery is the query of the tenants command.
const tenantsQuery = "SELECT * FROM tenants ORDER BY name"

// showTable prints the result of a query as a table or as one JSON object per line.
func (p *program) showTable(fetch stateFetcher, addresses []string, query string, asJSON bool) int {
	if !asJSON {
		return p.runQuery(fetch, addresses, query, rpc.MaxQueryRows)
	}
	rows, err := queryRows(fetch, addresses, query)
	if err != nil {
		return p.fail(err)
	}
	for _, row := range rows {
		if code := p.printJSON(row); code != exitOK {
			return code
		}
	}
	return exitOK
}

// queryRows returns the rows of a query's result, each as a map from column to value.
func queryRows(fetch stateFetcher, addresses []string, query string) ([]map[string]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), toolTotalTimeout)
	defer cancel()
	cluster, err := fetch(ctx, addresses)
	if err != nil {
		return nil, err
	}
	result, err := admin.Query(ctx, cluster, query, rpc.MaxQueryRows)
	if err != nil {
		return nil, err
	}
	rows := make([]map[string]string, len(result.Rows))
	for i, values := range result.Rows {
		rows[i] = map[string]string{}
		for j, column := range result.Columns {
			rows[i][column] = values[j]
		}
	}
	return rows, nil
}

// watchRows runs a query at an interval and prints the rows that are new or have changed, one
// JSON object per line, until maxRows rows were printed; 0 means no maximum.
func (p *program) watchRows(fetch stateFetcher, addresses []string, query string, interval time.Duration, maxRows int) int {
	previous := map[string]bool{}
	for printed := 0; ; time.Sleep(interval) {
		rows, err := queryRows(fetch, addresses, query)
		if err != nil {
			return p.fail(err)
		}
		current := map[string]bool{}
		for _, row := range rows {
			text := fmt.Sprint(row) // in the order of the columns' names
			current[text] = true
			if previous[text] {
				continue
			}
			if code := p.printJSON(row); code != exitOK {
				return code
			}
			if printed++; maxRows > 0 && printed >= maxRows {
				return exitOK
			}
		}
		previous = current
	}
}

// stateFetcher fetches the state of a server for a query.
type stateFetcher func(ctx context.Context, addresses []string) (rpc.ClusterState, error)

// runQuery prints the result of an SQL query as a table.
func (p *program) runQuery(fetch stateFetcher, addresses []string, query string, limit int) int {
	ctx, cancel := context.WithTimeout(context.Background(), toolTotalTimeout)
	defer cancel()
	cluster, err := fetch(ctx, addresses)
	if err != nil {
		return p.fail(err)
	}
	result, err := admin.Query(ctx, cluster, query, limit)
	if err != nil {
		return p.fail(err)
	}
	if err := p.printTable(append([][]string{result.Columns}, result.Rows...)); err != nil {
		return p.fail(err)
	}
	if result.Truncated {
		p.reportf("only the first %d rows are printed", limit)
	}
	if len(result.PartialTables) > 0 {
		p.reportf("%s returned only a part of these tables: %s", result.Server, strings.Join(result.PartialTables, ", "))
	}
	return exitOK
}

// printTable prints rows in columns of equal width.
func (p *program) printTable(rows [][]string) error {
	table := tabwriter.NewWriter(p.stdout, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return table.Flush()
}
