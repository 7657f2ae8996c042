package admin

import (
	"context"
	"database/sql"
	"fmt"
	"strings"

	_ "github.com/mattn/go-sqlite3" // the engine of queries, in the tool's memory

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// Result is a bounded answer to a query.
type Result struct {
	Columns []string
	Rows    [][]string
	// Truncated: there were more rows than asked for.
	Truncated bool
	// PartialTables names tables of which the daemon gave only a part.
	PartialTables []string
	Server        string
}

// FetchState takes the state of one core daemon, a follower if one answers: a query
// must not slow the placing that the leader does.
func FetchState(ctx context.Context, addresses []string) (rpc.ClusterState, error) {
	servers, _, err := ListMembers(ctx, addresses)
	if err != nil {
		return rpc.ClusterState{}, err
	}
	var leaderState *rpc.ClusterState
	for _, address := range servers {
		response, err := rpc.Call(ctx, address, rpc.KindClusterState, nil, tuning.ToolRequestTimeout)
		var fetched rpc.ClusterState
		if err != nil || transport.Decode(response.Body, &fetched) != nil {
			continue
		}
		if !fetched.IsLeader {
			return fetched, nil
		}
		leaderState = &fetched
	}
	if leaderState == nil {
		return rpc.ClusterState{}, ErrUnreachable
	}
	return *leaderState, nil
}

func columnType(value any) string {
	switch value.(type) {
	case string:
		return "TEXT"
	case bool, int64, uint64, int:
		return "INTEGER"
	}
	return ""
}

// Query runs one SELECT over the tables.
func Query(ctx context.Context, cluster rpc.ClusterState, query string, limit int) (Result, error) {
	db, err := sql.Open("sqlite3", ":memory:")
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	defer db.Close()
	db.SetMaxOpenConns(1)
	result := Result{Server: cluster.Node}
	for _, table := range cluster.Tables {
		if table.Truncated {
			result.PartialTables = append(result.PartialTables, table.Name)
		}
		if err := loadTable(ctx, db, table); err != nil {
			return Result{}, err
		}
	}
	// Why twice: query_only stops writes, and the check of the first word
	// gives a plain error instead of the engine's.
	word, _, _ := strings.Cut(strings.ToLower(strings.TrimSpace(query)), " ")
	if word != "select" && word != "with" {
		return Result{}, Error.New("only SELECT is answered, not %q", word)
	}
	if _, err := db.ExecContext(ctx, "PRAGMA query_only = ON"); err != nil {
		return Result{}, Error.Wrap(err)
	}
	rows, err := db.QueryContext(ctx, query)
	if err != nil {
		return Result{}, Error.New("the query is not understood: %v", err)
	}
	defer rows.Close()
	if result.Columns, err = rows.Columns(); err != nil {
		return Result{}, Error.Wrap(err)
	}
	for rows.Next() {
		if len(result.Rows) >= limit {
			result.Truncated = true
			break
		}
		values := make([]any, len(result.Columns))
		pointers := make([]any, len(values))
		for i := range values {
			pointers[i] = &values[i]
		}
		if err := rows.Scan(pointers...); err != nil {
			return Result{}, Error.Wrap(err)
		}
		row := make([]string, len(values))
		for i, value := range values {
			if value != nil {
				row[i] = fmt.Sprint(value)
			}
		}
		result.Rows = append(result.Rows, row)
	}
	if err := rows.Err(); err != nil {
		return Result{}, Error.New("the query failed: %v", err)
	}
	return result, nil
}

func loadTable(ctx context.Context, db *sql.DB, table rpc.Table) error {
	columns := make([]string, len(table.Columns))
	for i, column := range table.Columns {
		columns[i] = `"` + column + `"`
		if len(table.Rows) > 0 {
			columns[i] += " " + columnType(table.Rows[0][i])
		}
	}
	if _, err := db.ExecContext(ctx, "CREATE TABLE "+table.Name+" ("+strings.Join(columns, ", ")+")"); err != nil {
		return Error.Wrap(err)
	}
	tx, err := db.BeginTx(ctx, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	placeholders := strings.TrimSuffix(strings.Repeat("?,", len(table.Columns)), ",")
	for _, row := range table.Rows {
		for i, value := range row {
			if unsigned, ok := value.(uint64); ok {
				row[i] = int64(unsigned)
			}
		}
		if _, err := tx.ExecContext(ctx, "INSERT INTO "+table.Name+" VALUES ("+placeholders+")", row...); err != nil {
			_ = tx.Rollback()
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(tx.Commit())
}
