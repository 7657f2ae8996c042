package admin

import (
	"fmt"
	"sort"

	"tealpond/internal/rpc"
)

// JobRecord is one deferrable job in the record of a day.
type JobRecord struct {
	Job         string
	Cluster     string // where it was handed in
	RanOn       string // where it ran, or is
	State       string
	SubmittedMs int64
	EndedMs     int64
	Fault       string // missing or doubled, and why
}

type row map[string]any

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

func (r row) text(column string) string { return fmt.Sprint(r[column]) }

func (r row) integer(column string) int64 {
	switch value := r[column].(type) {
	case uint64:
		return int64(value)
	case int64:
		return value
	}
	return 0
}

// JobRecords joins the states of clusters, by name, into one entry a deferrable
// job: those of the queues named, and all that moved.
func JobRecords(clusters map[string]rpc.ClusterState, inboxes []string) []JobRecord {
	wanted := map[string]bool{}
	for _, name := range inboxes {
		wanted[name] = true
	}
	var names []string
	for name := range clusters {
		names = append(names, name)
	}
	sort.Strings(names)
	guests := map[string][]row{} // by job, with the cluster that has it
	for _, name := range names {
		for _, move := range tableRows(clusters[name], "moves") {
			if move["guest"] == true {
				move["at"] = name
				guests[move.text("job")] = append(guests[move.text("job")], move)
			}
		}
	}
	var records []JobRecord
	for _, name := range names {
		moved := map[string]row{}
		for _, move := range tableRows(clusters[name], "moves") {
			moved[move.text("job")] = move
		}
		for _, job := range tableRows(clusters[name], "jobs") {
			move := moved[job.text("id")]
			if move != nil && move["guest"] == true || move == nil && !wanted[job.text("inbox")] {
				continue
			}
			records = append(records, newJobRecord(name, job, move, guests[job.text("id")]))
		}
	}
	sort.Slice(records, func(a, b int) bool { return records[a].Job < records[b].Job })
	return records
}

func newJobRecord(cluster string, job, move row, guests []row) JobRecord {
	record := JobRecord{Job: job.text("id"), Cluster: cluster, RanOn: cluster, State: job.text("state"), SubmittedMs: job.integer("born_ms"), EndedMs: job.integer("ended_ms")}
	done := 0
	var clusters []string
	for _, guest := range guests {
		if guest.text("job_state") == "done" {
			done++
			clusters = append(clusters, guest.text("at"))
		}
	}
	away := move != nil && move.text("state") != "home"
	if away {
		record.RanOn = move.text("peer")
	}
	switch {
	case record.State == "called_off":
	case record.State == "failed":
		record.Fault = "missing: it failed"
	case record.State != "done" && move != nil && move.text("state") == "offered":
		record.Fault = "missing: unclear who has it, " + move.text("peer") + " has not said"
	case record.State != "done":
		record.Fault = "missing: not finished yet"
	case !away && done > 0:
		record.Fault = fmt.Sprintf("doubled: done here and at %v", clusters)
	case away && done > 1:
		record.Fault = fmt.Sprintf("doubled: done at %v", clusters)
	}
	return record
}
