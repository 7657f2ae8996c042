package admin

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"tealpond/internal/rpc"
)

// Names of tables, states and other values as servers return them. docs/queries.examples shows
// some.
const (
	tableJobs  = "jobs"
	tableMoves = "moves"

	jobDone     = "done"
	jobFailed   = "failed"
	jobCanceled = "called_off"

	moveOffered  = "offered"
	moveReturned = "home" // returned to the cluster that the job was submitted to
)

// JobRecord is the record of one deferrable job.
type JobRecord struct {
	Job         string
	Cluster     string // cluster that it was submitted to
	RanOn       string // cluster where it ran or is now
	State       string
	SubmittedMs int64  // on the clock of the cluster's state
	EndedMs     int64  // on the same clock; 0 while the job has not ended
	Fault       string // why it counts as missing or doubled; empty if neither
}

// row is a row of a table, by column name.
type row map[string]any

// tableRows returns the rows of a server's table; none if there is no such table.
func tableRows(cluster rpc.ClusterState, name string) []row {
	var rows []row
	for _, table := range cluster.Tables {
		if table.Name != name {
			continue
		}
		for _, cells := range table.Rows {
			byColumn := row{}
			for i, column := range table.Columns {
				byColumn[column] = cells[i]
			}
			rows = append(rows, byColumn)
		}
	}
	return rows
}

// text returns a column as text.
func (r row) text(column string) string { return fmt.Sprint(r[column]) }

// integer returns the value of an integer column, or 0 if it is not an integer.
func (r row) integer(column string) int64 {
	switch value := r[column].(type) {
	case uint64:
		return int64(value)
	case int64:
		return value
	}
	return 0
}

// JobRecords merges the states of clusters, by name, into one record per deferrable job, sorted by
// job ID. It includes the jobs of the given queues and all jobs that were transferred between
// clusters.
func JobRecords(clusters map[string]rpc.ClusterState, queues []string) []JobRecord {
	names := slices.Sorted(maps.Keys(clusters))
	transfers := transfersByJob(clusters, names)
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
			records = append(records, newJobRecord(name, job, move, transfers[job.text("id")]))
		}
	}
	sort.Slice(records, func(a, b int) bool { return records[a].Job < records[b].Job })
	return records
}

// transfer is a job's transfer to a cluster, as that cluster shows it.
type transfer struct {
	cluster string
	move    row
}

// transfersByJob returns the transfers of all clusters, by job ID.
func transfersByJob(clusters map[string]rpc.ClusterState, names []string) map[string][]transfer {
	transfers := map[string][]transfer{}
	for _, name := range names {
		for _, move := range tableRows(clusters[name], tableMoves) {
			if move["guest"] == true {
				transfers[move.text("job")] = append(transfers[move.text("job")], transfer{name, move})
			}
		}
	}
	return transfers
}

// newJobRecord builds the record of a job from its row in the cluster that it was submitted to, the
// row of its transfer from there (move; nil if it was never transferred) and its transfers as shown
// by the clusters that it was transferred to.
func newJobRecord(cluster string, job, move row, transfers []transfer) JobRecord {
	record := JobRecord{
		Job:         job.text("id"),
		Cluster:     cluster,
		RanOn:       cluster,
		State:       job.text("state"),
		SubmittedMs: job.integer("born_ms"),
		EndedMs:     job.integer("ended_ms"),
	}
	ranElsewhere := move != nil && move.text("state") != moveReturned
	if ranElsewhere {
		record.RanOn = move.text("peer")
	}
	var doneAt []string
	for _, transfer := range transfers {
		if transfer.move.text("job_state") == jobDone {
			doneAt = append(doneAt, transfer.cluster)
		}
	}
	switch {
	case record.State == jobCanceled:
	case record.State == jobFailed:
		record.Fault = "missing: it failed"
	case record.State != jobDone && move != nil && move.text("state") == moveOffered:
		record.Fault = "missing: unclear who has it, " + move.text("peer") + " has not said"
	case record.State != jobDone:
		record.Fault = "missing: not finished yet"
	case !ranElsewhere && len(doneAt) > 0:
		record.Fault = fmt.Sprintf("doubled: done here and at %v", doneAt)
	case ranElsewhere && len(doneAt) > 1:
		record.Fault = fmt.Sprintf("doubled: done at %v", doneAt)
	}
	return record
}
