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

// Queries of the tables that applications share. The leader is asked, since a follower may
// be behind.
const (
	locksQuery   = "SELECT name, holder, fence, held_ms, left_ms FROM locks ORDER BY name"
	numbersQuery = "SELECT name, value FROM numbers ORDER BY name"
	keysQuery    = "SELECT name, revision, value FROM keys ORDER BY name"
	talliesQuery = "SELECT name, total FROM tallies ORDER BY name"
	peersQuery   = "SELECT id, silent_ms, lacks FROM tally_peers ORDER BY id"
	zonesQuery   = "SELECT zone, evacuated, since_ms, revision FROM zones ORDER BY zone"
)

// addCoordinationTools adds the commands that show locks, numbers and keys.
func (p *program) addCoordinationTools(app *kingpin.Application) {
	locks := app.Command("locks", "Show who holds which lock, under which fence, since when and for how long.")
	p.addTableTool(locks, locksQuery)
	numbers := app.Command("numbers", "Show the newest number given under each name.")
	p.addTableTool(numbers, numbersQuery)

	// Any server is asked: at each side of a partition the tallies go on by themselves.
	tallies := app.Command("tallies", "Show tallies as one server has them, and what it knows of the others.")
	p.addTableToolOf(admin.FetchState, tallies.Command("list", "Show each tally with its sum."), talliesQuery)
	p.addTableToolOf(admin.FetchState, tallies.Command("peers", "Show the other servers: since when each is silent, and how many adds it may lack."), peersQuery)
	watchTallies := tallies.Command("watch", "Print each tally whenever its sum has changed, one JSON object a line.")
	interval := watchTallies.Flag("every", "How often to look.").Default("1s").Duration()
	mostRows := watchTallies.Flag("count", "End after so many lines; 0: never.").Int()
	serverAddresses := watchTallies.Flag("at", "A daemon's address for daemons; may be repeated.").Required().Strings()
	p.commands[watchTallies.FullCommand()] = func() int {
		return p.watchRows(admin.FetchState, *serverAddresses, talliesQuery, *interval, *mostRows)
	}
	zones := app.Command("zones", "Show which zones are evacuated, since when, and the number of the last order about each.")
	p.addTableTool(zones, zonesQuery)

	keys := app.Command("keys", "Show, read or watch the keys that applications share.")
	p.addTableTool(keys.Command("list", "Show all keys with their revisions."), keysQuery)

	get := keys.Command("get", "Read a key.")
	key := get.Arg("key", "The key.").Required().String()
	getAddresses := get.Flag("control", "A daemon's control address (HOST:PORT); may be repeated.").Required().Strings()
	p.commands[get.FullCommand()] = func() int { return p.readKey(*getAddresses, *key) }

	watch := keys.Command("watch", "Print each put of a group, one JSON object a line.")
	group := watch.Arg("group", "The group with its dot, as g1.").Required().String()
	from := watch.Flag("from", "The revision after which to begin; 0 begins with the next put.").Int64()
	most := watch.Flag("count", "End after so many puts; 0: never.").Int()
	watchAddresses := watch.Flag("control", "A daemon's control address (HOST:PORT); may be repeated.").Required().Strings()
	p.commands[watch.FullCommand()] = func() int { return p.watchGroup(*watchAddresses, *group, *from, *most) }
}

// addTableTool has a command print a query's answer by the leader.
func (p *program) addTableTool(command *kingpin.CmdClause, query string) {
	p.addTableToolOf(admin.FetchLeaderState, command, query)
}

// addTableToolOf is addTableTool with the answer of another server.
func (p *program) addTableToolOf(fetch fetchState, command *kingpin.CmdClause, query string) {
	addresses := command.Flag("at", "A daemon's address for daemons; may be repeated.").Required().Strings()
	asJSON := command.Flag("json", "Print one JSON object a line.").Bool()
	p.commands[command.FullCommand()] = func() int { return p.showTable(fetch, *addresses, query, *asJSON) }
}

// errNotFound: the key doesn't exist.
var errNotFound = errors.New("no such key")

// readKey prints a key as JSON.
func (p *program) readKey(addresses []string, key string) int {
	var answer protocol.KeyResponse
	err := getJSON(addresses, "/-/Cells.Read/"+url.PathEscape(key), admin.RequestTimeout, &answer)
	switch {
	case errors.Is(err, errNotFound):
		p.reportf("%s: %v", key, err)
		return exitUnknown
	case err != nil:
		return p.fail(err)
	}
	return p.printJSON(answer)
}

// watchGroup prints the puts of a group until so many were seen, or without an end.
func (p *program) watchGroup(addresses []string, group string, after int64, most int) int {
	for seen := 0; most <= 0 || seen < most; {
		path := fmt.Sprintf("/-/watch/%s?dependsOn=%d&waitMs=%d", url.PathEscape(group), after, timing.MaxWatchWait.Milliseconds())
		var answer protocol.WatchResponse
		if err := getJSON(addresses, path, timing.MaxWatchWait+admin.RequestTimeout, &answer); err != nil {
			return p.fail(err)
		}
		for _, event := range answer.Events {
			if code := p.printJSON(event); code != exitOK {
				return code
			}
			seen++
		}
		after = answer.Revision
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

// getJSON reads a path of the first daemon that answers. The error is errNotFound, or says
// what each daemon answered.
func getJSON(addresses []string, path string, timeout time.Duration, into any) error {
	faults := []error{admin.ErrUnreachable}
	for _, address := range addresses {
		status, raw, err := get("http://"+address+path, timeout)
		switch {
		case err != nil:
			faults = append(faults, err)
		case status == http.StatusOK:
			if err := json.Unmarshal(raw, into); err != nil {
				return fmt.Errorf("%s: unreadable answer: %w", address, err)
			}
			return nil
		case status == http.StatusNotFound:
			return errNotFound
		case status < http.StatusInternalServerError:
			return fmt.Errorf("%s: %d %s", address, status, raw)
		default:
			faults = append(faults, fmt.Errorf("%s: %d %s", address, status, raw))
		}
	}
	return errors.Join(faults...)
}

// get makes one request and gives the status and the body of the answer.
func get(target string, timeout time.Duration) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
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
