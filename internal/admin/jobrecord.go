package admin

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"tealpond/internal/rpc"
)

// Names of tables, states and other values as servers give them; docs/queries.examples
// shows some.
const (
	tableJobs  = "jobs"
	tableMoves = "moves"

	jobDone      = "done"
	jobFailed    = "failed"
	jobCancelled = "called_off"

	moveOffered = "offered"
	moveBack    = "home" // taken back by the cluster that the job was submitted to
)

// JobRecord is one deferrable job in the record of a day.
type JobRecord struct {
	Job         string
	Cluster     string // where it was submitted
	RanOn       string // the cluster where it ran, or is
	State       string
	SubmittedMs int64  // on the clock of the cluster's state
	EndedMs     int64  // the same; 0 while it has not ended
	Fault       string // missing or doubled, and why; empty: it finished once
}

// row is a table's row by its columns.
type row map[string]any

// tableRows returns the rows of one table of a server; none if there is no such table.
func tableRows(cluster rpc.ClusterState, name string) []row {
	var rows []row
	for _, table := range cluster.Tables {
		if table.Name != name {
			continue
		}
		for _, values := range table.Rows {
			named := row{}
			for i, column := range table.Columns {
				named[column] = values[i]
			}
			rows = append(rows, named)
		}
	}
	return rows
}

// text returns a column as text.
func (r row) text(column string) string { return fmt.Sprint(r[column]) }

// integer returns a column that holds an integer, 0 otherwise.
func (r row) integer(column string) int64 {
	switch value := r[column].(type) {
	case uint64:
		return int64(value)
	case int64:
		return value
	}
	return 0
}

// JobRecords joins the states of clusters, by name, into one record for each
// deferrable job, sorted by their IDs: the jobs of the given queues, and all that
// moved between clusters.
func JobRecords(clusters map[string]rpc.ClusterState, queues []string) []JobRecord {
	names := slices.Sorted(maps.Keys(clusters))
	learnerContacts := guestsByJob(clusters, names)
	var records []JobRecord
	for _, name := range names {
		moveOf := map[string]row{}
		for _, move := range tableRows(clusters[name], tableMoves) {
			moveOf[move.text("job")] = move
		}
		for _, job := range tableRows(clusters[name], tableJobs) {
			move := moveOf[job.text("id")]
			if move != nil && move["guest"] == true || move == nil && !slices.Contains(queues, job.text("inbox")) {
				continue
			}
			records = append(records, newJobRecord(name, job, move, learnerContacts[job.text("id")]))
		}
	}
	sort.Slice(records, func(a, b int) bool { return records[a].Job < records[b].Job })
	return records
}

// guest is a job of another cluster, as the cluster that it moved to shows it.
type guest struct {
	cluster string
	move    row
}

// guestsByJob returns the guests of all clusters by the ID of the job.
func guestsByJob(clusters map[string]rpc.ClusterState, names []string) map[string][]guest {
	learnerContacts := map[string][]guest{}
	for _, name := range names {
		for _, move := range tableRows(clusters[name], tableMoves) {
			if move["guest"] == true {
				learnerContacts[move.text("job")] = append(learnerContacts[move.text("job")], guest{name, move})
			}
		}
	}
	return learnerContacts
}

// newJobRecord builds the record of a job from its row in the cluster that it was
// submitted to, its move from there (nil if it never moved) and its guests.
func newJobRecord(cluster string, job, move row, learnerContacts []guest) JobRecord {
	record := JobRecord{
		Job:         job.text("id"),
		Cluster:     cluster,
		RanOn:       cluster,
		State:       job.text("state"),
		SubmittedMs: job.integer("born_ms"),
		EndedMs:     job.integer("ended_ms"),
	}
	away := move != nil && move.text("state") != moveBack
	if away {
		record.RanOn = move.text("peer")
	}
	var doneAt []string
	for _, guest := range learnerContacts {
		if guest.move.text("job_state") == jobDone {
			doneAt = append(doneAt, guest.cluster)
		}
	}
	switch {
	case record.State == jobCancelled:
	case record.State == jobFailed:
		record.Fault = "missing: it failed"
	case record.State != jobDone && move != nil && move.text("state") == moveOffered:
		record.Fault = "missing: unclear who has it, " + move.text("peer") + " has not said"
	case record.State != jobDone:
		record.Fault = "missing: not finished yet"
	case !away && len(doneAt) > 0:
		record.Fault = fmt.Sprintf("doubled: done here and at %v", doneAt)
	case away && len(doneAt) > 1:
		record.Fault = fmt.Sprintf("doubled: done at %v", doneAt)
	}
	return record
}
