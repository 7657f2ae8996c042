package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tealpond/internal/admin"
	"tealpond/internal/protocol"
	"tealpond/internal/timing"
)

// Queries for the state that applications share. Those for tallies go to any server, the
// others to the leader, since a follower may lag behind.
const (
	locksQuery   = "SELECT name, holder, fence, held_ms, left_ms FROM locks ORDER BY name"
	numbersQuery = "SELECT name, value FROM numbers ORDER BY name"
	keysQuery    = "SELECT name, revision, value FROM keys ORDER BY name"
	talliesQuery = "SELECT name, total FROM tallies ORDER BY name"
	peersQuery   = "SELECT id, silent_ms, lacks FROM tally_peers ORDER BY id"
	zonesQuery   = "SELECT zone, evacuated, since_ms, revision FROM zones ORDER BY zone"
)

// addCoordinationTools adds the commands for locks, numbers, tallies, zones and keys.
func (p *program) addCoordinationTools(app *kingpin.Application) {
	locks := app.Command("locks",
		"Show each lock with its holder, its fence, how long it has been held and how much time is left.")
	p.addTableTool(locks, locksQuery)
	numbers := app.Command("numbers", "Show the latest number issued under each name.")
	p.addTableTool(numbers, numbersQuery)

	// Any server may answer, because tallies remain available on each side of a network
	// partition.
	tallies := app.Command("tallies", "Show the tallies of one server and what it knows about the other servers.")
	p.addTableToolFrom(admin.FetchState, tallies.Command("list", "Show each tally with its total."), talliesQuery)
	p.addTableToolFrom(admin.FetchState,
		tallies.Command("peers", "Show the other servers: how long each has been silent, and how many adds it may lack."), peersQuery)
	watchTallies := tallies.Command("watch",
		"Print each tally whenever its total has changed, one JSON object per line.")
	interval := watchTallies.Flag("every", "Polling interval.").Default("1s").Duration()
	maxRows := watchTallies.Flag("count", "Exit after this many lines; 0 means never.").Int()
	serverAddresses := watchTallies.Flag("at", "A daemon's address for daemons; may be repeated.").Required().Strings()
	p.commands[watchTallies.FullCommand()] = func() int {
		return p.watchRows(admin.FetchState, *serverAddresses, talliesQuery, *interval, *maxRows)
	}
	zones := app.Command("zones",
		"Show which zones are evacuated, since when, and the revision of the last order for each.")
	p.addTableTool(zones, zonesQuery)

	keys := app.Command("keys", "Show, read or watch the keys shared by applications.")
	p.addTableTool(keys.Command("list", "Show all keys with their revisions."), keysQuery)

	get := keys.Command("get", "Read a key.")
	key := get.Arg("key", "The key.").Required().String()
	getAddresses := get.Flag("control", "A daemon's control address (HOST:PORT); may be repeated.").Required().Strings()
	p.commands[get.FullCommand()] = func() int { return p.readKey(*getAddresses, *key) }

	watch := keys.Command("watch", "Print each put in a group, one JSON object per line.")
	group := watch.Arg("group", "The group including its dot, such as g1.").Required().String()
	from := watch.Flag("from", "The revision after which to start; 0 starts with the next put.").Int64()
	maxPuts := watch.Flag("count", "Exit after this many puts; 0 means never.").Int()
	watchAddresses := watch.Flag("control", "A daemon's control address (HOST:PORT); may be repeated.").Required().Strings()
	p.commands[watch.FullCommand()] = func() int { return p.watchGroup(*watchAddresses, *group, *from, *maxPuts) }
}

// addTableTool makes a command print the leader's result of a query.
func (p *program) addTableTool(command *kingpin.CmdClause, query string) {
	p.addTableToolFrom(admin.FetchLeaderState, command, query)
}

// addTableToolFrom makes a command print the result of a query on the state that fetch
// returns.
func (p *program) addTableToolFrom(fetch stateFetcher, command *kingpin.CmdClause, query string) {
	addresses := command.Flag("at", "A daemon's address for daemons; may be repeated.").Required().Strings()
	asJSON := command.Flag("json", "Print one JSON object per line.").Bool()
	p.commands[command.FullCommand()] = func() int { return p.showTable(fetch, *addresses, query, *asJSON) }
}

// errNotFound reports that a key doesn't exist.
var errNotFound = errors.New("no such key")

// readKey prints a key as JSON.
func (p *program) readKey(addresses []string, key string) int {
	var response protocol.KeyResponse
	err := getJSON(addresses, "/-/Cells.Read/"+url.PathEscape(key), admin.RequestTimeout, &response)
	switch {
	case errors.Is(err, errNotFound):
		p.reportf("%s: %v", key, err)
		return exitUnknown
	case err != nil:
		return p.fail(err)
	}
	return p.printJSON(response)
}

// watchGroup prints the puts in a group after a revision, up to a maximum number; 0 means no
// maximum.
func (p *program) watchGroup(addresses []string, group string, after int64, maxPuts int) int {
	for printed := 0; maxPuts <= 0 || printed < maxPuts; {
		path := fmt.Sprintf("/-/watch/%s?dependsOn=%d&waitMs=%d", url.PathEscape(group), after, timing.MaxWatchWait.Milliseconds())
		var response protocol.WatchResponse
		if err := getJSON(addresses, path, timing.MaxWatchWait+admin.RequestTimeout, &response); err != nil {
			return p.fail(err)
		}
		for _, event := range response.Events {
			if code := p.printJSON(event); code != exitOK {
				return code
			}
			printed++
		}
		after = response.Revision
	}
	return exitOK
}

// printJSON prints a value as one line of JSON.
func (p *program) printJSON(value any) int {
	line, err := json.Marshal(value)
	if err != nil {
		return p.fail(err)
	}
	p.printf("%s\n", line)
	return exitOK
}

// getJSON requests a path from the daemons in order until one answers, and decodes the
// response. A daemon that is unreachable or responds with a server error is skipped. The
// error is errNotFound or describes the failed responses.
func getJSON(addresses []string, path string, timeout time.Duration, result any) error {
	failures := []error{admin.ErrUnreachable}
	for _, address := range addresses {
		status, raw, err := get("http://"+address+path, timeout)
		switch {
		case err != nil:
			failures = append(failures, err)
		case status == http.StatusOK:
			if err := json.Unmarshal(raw, result); err != nil {
				return fmt.Errorf("%s: invalid response: %w", address, err)
			}
			return nil
		case status == http.StatusNotFound:
			return errNotFound
		case status < http.StatusInternalServerError:
			return fmt.Errorf("%s: %d %s", address, status, raw)
		default:
			failures = append(failures, fmt.Errorf("%s: %d %s", address, status, raw))
		}
	}
	return errors.Join(failures...)
}

// get makes one GET request and returns the status and the body of the response.
func get(rawURL string, timeout time.Duration) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, rawURL, nil)
	if err != nil {
		return 0, nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	body, err = io.ReadAll(io.LimitReader(response.Body, protocol.MaxControlBodyBytes))
	return response.StatusCode, body, err
}
