package admin

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"strings"

	_ "github.com/mattn/go-sqlite3" // SQL engine for queries, in the tool's memory

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// Result is the result of a query.
type Result struct {
	Columns []string
	Rows    [][]string // as text; NULL is an empty string
	// Truncated reports that the result had more rows than the limit.
	Truncated bool
	// PartialTables are the names of the tables that the server returned only in part.
	PartialTables []string
	Server        string // node name of the server whose state was queried
}

// FetchState fetches the state of one server. It prefers a follower, so that a query does not slow
// the leader's scheduling. The error is ErrUnreachable if no server responded.
func FetchState(ctx context.Context, addresses []string) (rpc.ClusterState, error) {
	return fetchState(ctx, addresses, false)
}

// FetchLeaderState fetches the state of the leader, the only server that knows the daemons and the
// runners of a platform. The error is ErrUnreachable if the leader did not respond.
func FetchLeaderState(ctx context.Context, addresses []string) (rpc.ClusterState, error) {
	cluster, err := fetchState(ctx, addresses, true)
	if err == nil && !cluster.IsLeader {
		return rpc.ClusterState{}, ErrUnreachable
	}
	return cluster, err
}

// fetchState fetches the state of the leader or of a follower, or of any server that responds if
// there is none of that role.
func fetchState(ctx context.Context, addresses []string, fromLeader bool) (rpc.ClusterState, error) {
	servers, _, err := ListMembers(ctx, addresses)
	if err != nil {
		return rpc.ClusterState{}, err
	}
	var fallback *rpc.ClusterState
	for _, address := range servers {
		response, err := rpc.Call(ctx, address, rpc.KindClusterState, nil, RequestTimeout)
		var fetched rpc.ClusterState
		if err != nil || transport.Decode(response.Body, &fetched) != nil {
			continue
		}
		if fetched.IsLeader == fromLeader {
			return fetched, nil
		}
		fallback = &fetched
	}
	if fallback == nil {
		return rpc.ClusterState{}, ErrUnreachable
	}
	return *fallback, nil
}

// columnType returns the SQL type of a value, or an empty string if it has none.
func columnType(value any) string {
	switch value.(type) {
	case string:
		return "TEXT"
	case bool, int64, uint64, int:
		return "INTEGER"
	}
	return ""
}

// Query runs one query, a SELECT or a WITH, over the tables of a server and returns at most limit
// rows. The error is of class Error.
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
	// query_only rejects writes. The first word is checked as well, since that gives a plainer
	// error than the engine's.
	keyword, _, _ := strings.Cut(strings.ToLower(strings.TrimSpace(query)), " ")
	if keyword != "select" && keyword != "with" {
		return Result{}, Error.New("only SELECT is answered, not %q", keyword)
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

// read reads at most limit rows into the result.
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

// loadTable copies a server's table into the database.
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
