package fleet

import (
	"context"
	"database/sql"
	"fmt"
	"strings"

	_ "github.com/mattn/go-sqlite3" // the engine of queries, in the tool's memory

	"tealpond/internal/member"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// Result is a bounded answer to a query.
type Result struct {
	Cols []string
	Rows [][]string
	// Cut: there were more rows than asked for.
	Cut bool
	// Short names tables of which the daemon gave only a part.
	Short []string
	From  string
}

// Fetch takes the state of one core daemon, a follower if one answers: a query
// must not slow the placing that the leader does.
func Fetch(ctx context.Context, at []string) (member.Fleet, error) {
	core, _, err := Members(ctx, at)
	if err != nil {
		return member.Fleet{}, err
	}
	var lead *member.Fleet
	for _, a := range core {
		r, err := member.AskAt(ctx, a, member.AskFleet, nil, tune.ToolRound)
		var f member.Fleet
		if err != nil || transport.Decode(r.Body, &f) != nil {
			continue
		}
		if !f.Leads {
			return f, nil
		}
		lead = &f
	}
	if lead == nil {
		return member.Fleet{}, ErrNobody
	}
	return *lead, nil
}

func kindOf(v any) string {
	switch v.(type) {
	case string:
		return "TEXT"
	case bool, int64, uint64, int:
		return "INTEGER"
	}
	return ""
}

// Query runs one SELECT over the tables.
func Query(ctx context.Context, f member.Fleet, text string, most int) (Result, error) {
	db, err := sql.Open("sqlite3", ":memory:")
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	defer db.Close()
	db.SetMaxOpenConns(1)
	res := Result{From: f.Node}
	for _, t := range f.Tables {
		if t.Cut {
			res.Short = append(res.Short, t.Name)
		}
		if err := load(ctx, db, t); err != nil {
			return Result{}, err
		}
	}
	// Why twice: query_only stops writes, and the check of the first word
	// gives a plain error instead of the engine's.
	word, _, _ := strings.Cut(strings.ToLower(strings.TrimSpace(text)), " ")
	if word != "select" && word != "with" {
		return Result{}, Error.New("only SELECT is answered, not %q", word)
	}
	if _, err := db.ExecContext(ctx, "PRAGMA query_only = ON"); err != nil {
		return Result{}, Error.Wrap(err)
	}
	rows, err := db.QueryContext(ctx, text)
	if err != nil {
		return Result{}, Error.New("the query is not understood: %v", err)
	}
	defer rows.Close()
	if res.Cols, err = rows.Columns(); err != nil {
		return Result{}, Error.Wrap(err)
	}
	for rows.Next() {
		if len(res.Rows) >= most {
			res.Cut = true
			break
		}
		vals := make([]any, len(res.Cols))
		ptrs := make([]any, len(vals))
		for i := range vals {
			ptrs[i] = &vals[i]
		}
		if err := rows.Scan(ptrs...); err != nil {
			return Result{}, Error.Wrap(err)
		}
		row := make([]string, len(vals))
		for i, v := range vals {
			if v != nil {
				row[i] = fmt.Sprint(v)
			}
		}
		res.Rows = append(res.Rows, row)
	}
	if err := rows.Err(); err != nil {
		return Result{}, Error.New("the query failed: %v", err)
	}
	return res, nil
}

func load(ctx context.Context, db *sql.DB, t member.Table) error {
	cols := make([]string, len(t.Cols))
	for i, c := range t.Cols {
		cols[i] = `"` + c + `"`
		if len(t.Rows) > 0 {
			cols[i] += " " + kindOf(t.Rows[0][i])
		}
	}
	if _, err := db.ExecContext(ctx, "CREATE TABLE "+t.Name+" ("+strings.Join(cols, ", ")+")"); err != nil {
		return Error.Wrap(err)
	}
	tx, err := db.BeginTx(ctx, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	marks := strings.TrimSuffix(strings.Repeat("?,", len(t.Cols)), ",")
	for _, r := range t.Rows {
		for i, v := range r {
			if u, ok := v.(uint64); ok {
				r[i] = int64(u)
			}
		}
		if _, err := tx.ExecContext(ctx, "INSERT INTO "+t.Name+" VALUES ("+marks+")", r...); err != nil {
			_ = tx.Rollback()
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(tx.Commit())
}
