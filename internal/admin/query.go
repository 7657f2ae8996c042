package admin

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"strings"

	_ "github.com/mattn/go-sqlite3" // the engine of queries, in the tool's memory

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// Result is the answer to a query.
type Result struct {
	Columns []string
	Rows    [][]string // as text, NULL as the empty text
	// Truncated tells that there were more rows than asked for.
	Truncated bool
	// PartialTables names the tables of which the server gave only a part.
	PartialTables []string
	Server        string // the name of the machine whose state it is
}

// FetchState takes the state of one server, a follower if one answers, so that a
// query does not slow the leader's scheduling. The error is ErrUnreachable if no
// server answered.
func FetchState(ctx context.Context, addresses []string) (rpc.ClusterState, error) {
	return fetchState(ctx, addresses, false)
}

// FetchLeaderState takes the state of the leader, which alone knows the daemons and the
// runners of a platform. The error is ErrUnreachable if it didn't answer.
func FetchLeaderState(ctx context.Context, addresses []string) (rpc.ClusterState, error) {
	cluster, err := fetchState(ctx, addresses, true)
	if err == nil && !cluster.IsLeader {
		return rpc.ClusterState{}, ErrUnreachable
	}
	return cluster, err
}

// fetchState takes the state of the leader or of a follower, or else of any server that
// answers.
func fetchState(ctx context.Context, addresses []string, ofLeader bool) (rpc.ClusterState, error) {
	servers, _, err := ListMembers(ctx, addresses)
	if err != nil {
		return rpc.ClusterState{}, err
	}
	var other *rpc.ClusterState
	for _, address := range servers {
		response, err := rpc.Call(ctx, address, rpc.KindClusterState, nil, RequestTimeout)
		var fetched rpc.ClusterState
		if err != nil || transport.Decode(response.Body, &fetched) != nil {
			continue
		}
		if fetched.IsLeader == ofLeader {
			return fetched, nil
		}
		other = &fetched
	}
	if other == nil {
		return rpc.ClusterState{}, ErrUnreachable
	}
	return *other, nil
}

// columnType is the SQL type of a value; empty if it has none of its own.
func columnType(value any) string {
	switch value.(type) {
	case string:
		return "TEXT"
	case bool, int64, uint64, int:
		return "INTEGER"
	}
	return ""
}

// Query runs one SELECT over the tables of a server and gives at most limit rows. The
// error is of class Error.
func Query(ctx context.Context, cluster rpc.ClusterState, query string, limit int) (result Result, err error) {
	db, err := sql.Open("sqlite3", ":memory:")
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	defer func() { err = errors.Join(err, Error.Wrap(db.Close())) }()
	db.SetMaxOpenConns(1)
	result.Server = cluster.Node
	for _, table := range cluster.Tables {
		if table.Truncated {
			result.PartialTables = append(result.PartialTables, table.Name)
		}
		if err := loadTable(ctx, db, table); err != nil {
			return Result{}, err
		}
	}
	// query_only stops writes; the first word is checked as well, since that gives
	// a plainer error than the engine's.
	word, _, _ := strings.Cut(strings.ToLower(strings.TrimSpace(query)), " ")
	if word != "select" && word != "with" {
		return Result{}, Error.New("only SELECT is answered, not %q", word)
	}
	if _, err := db.ExecContext(ctx, "PRAGMA query_only = ON"); err != nil {
		return Result{}, Error.Wrap(err)
	}
	rows, err := db.QueryContext(ctx, query)
	if err != nil {
		return Result{}, Error.New("the query is not understood: %w", err)
	}
	defer func() { err = errors.Join(err, Error.Wrap(rows.Close())) }()
	if err := result.read(rows, limit); err != nil {
		return Result{}, err
	}
	return result, nil
}

// read takes at most limit rows into the result.
func (r *Result) read(rows *sql.Rows, limit int) error {
	var err error
	if r.Columns, err = rows.Columns(); err != nil {
		return Error.Wrap(err)
	}
	values := make([]any, len(r.Columns))
	pointers := make([]any, len(values))
	for i := range values {
		pointers[i] = &values[i]
	}
	for rows.Next() {
		if len(r.Rows) >= limit {
			r.Truncated = true
			break
		}
		if err := rows.Scan(pointers...); err != nil {
			return Error.Wrap(err)
		}
		row := make([]string, len(values))
		for i, value := range values {
			if value != nil {
				row[i] = fmt.Sprint(value)
			}
		}
		r.Rows = append(r.Rows, row)
	}
	if err := rows.Err(); err != nil {
		return Error.New("the query failed: %w", err)
	}
	return nil
}

// loadTable makes a table of the database from one of a server.
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
			// The engine's integers are signed.
			if unsigned, ok := value.(uint64); ok {
				row[i] = int64(unsigned)
			}
		}
		if _, err := tx.ExecContext(ctx, "INSERT INTO "+table.Name+" VALUES ("+placeholders+")", row...); err != nil {
			return errors.Join(Error.Wrap(err), Error.Wrap(tx.Rollback()))
		}
	}
	return Error.Wrap(tx.Commit())
}
