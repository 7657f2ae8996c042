// Package platform reads the list of runners from the platform on which the cluster
// stands. It only reads; who reads, and how often, is decided by its callers, since each
// call has a price.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/time/rate"

	"tealpond/internal/registry"
	"tealpond/internal/transport"
)

const (
	// rateShare is the part of the platform's rate that its reader uses; after a change of leader
	// there may be two readers.
	rateShare = 0.45
	// pageAttempts is how often a page is asked for that the platform refuses for its rate, and
	// ratePause the pause between two.
	pageAttempts = 6
	ratePause    = 250 * time.Millisecond
	// callTimeout bounds one call of the platform.
	callTimeout = 2 * time.Second
	// idleTimeout is how long a connection is kept between two readings.
	idleTimeout = 30 * time.Second
	// maxPlatformPages bounds the pages of one reading.
	maxPlatformPages = 1000
	// maxPlatformPageBytes bounds one page, in bytes.
	maxPlatformPageBytes = 4 << 20
)

// Error is the class of errors of a reading.
var Error = errs.Class("platform")

// ErrRateExceeded tells that the platform refused a call for its rate.
var ErrRateExceeded = Error.New("too many calls")

// Client reads from one platform.
type Client struct {
	address string // HOST:PORT
	http    *http.Client
	limiter *rate.Limiter
}

// NewClient makes a client of the platform at an address, which accepts so many calls a
// second from all daemons together; 0: any number.
func NewClient(address string, callsPerSecond float64) *Client {
	dialer := &net.Dialer{Timeout: callTimeout}
	return &Client{address: address, limiter: newLimiter(callsPerSecond), http: &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return transport.DialWith(ctx, dialer, addr)
		},
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}}
}

// newLimiter keeps a client below the platform's rate.
func newLimiter(callsPerSecond float64) *rate.Limiter {
	if callsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	used := callsPerSecond * rateShare
	return rate.NewLimiter(rate.Limit(used), max(int(used), 1))
}

// listedRunner is an entry of the platform's list. Unknown members are skipped.
type listedRunner struct {
	ID         string `json:"id"`
	Service    string `json:"targetService"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	ColdLeftMs int64  `json:"coldLeftMs"`
}

// listPage is one page of the list.
type listPage struct {
	Runners   []listedRunner `json:"instanceList"`
	NextToken *string        `json:"nextToken"` // nil on the last page
}

// stateDraining is the state of a runner that is about to leave.
const stateDraining = "draining"

// List reads the whole list, page by page. A list that can't be read to its end is an
// error: a part of it would look as if the other runners had gone.
func (c *Client) List(ctx context.Context) ([]registry.Runner, error) {
	var runners []registry.Runner
	token := ""
	for range maxPlatformPages {
		page, err := c.pageWithinRate(ctx, token)
		if err != nil {
			return nil, err
		}
		for _, listed := range page.Runners {
			runners = append(runners, registry.Runner{
				ID: listed.ID, Service: listed.Service, Address: listed.Address, Zone: listed.Zone,
				Slots: listed.Slots, Draining: listed.State == stateDraining, ColdMs: listed.ColdLeftMs,
			})
		}
		if page.NextToken == nil || *page.NextToken == "" {
			return runners, nil
		}
		token = *page.NextToken
	}
	return nil, Error.New("the list has more than %d pages", maxPlatformPages)
}

// pageWithinRate reads one page at the client's pace, and again if the platform refuses it
// for its rate: a list that is begun anew each time might never be read to its end.
func (c *Client) pageWithinRate(ctx context.Context, token string) (page listPage, err error) {
	for range pageAttempts {
		if err := c.limiter.Wait(ctx); err != nil {
			return listPage{}, Error.Wrap(err)
		}
		if page, err = c.page(ctx, token); !errors.Is(err, ErrRateExceeded) {
			break
		}
		select {
		case <-time.After(ratePause):
		case <-ctx.Done():
			return listPage{}, Error.Wrap(ctx.Err())
		}
	}
	return page, err
}

// page reads one page.
func (c *Client) page(ctx context.Context, token string) (page listPage, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: c.address, Path: "/runners"}
	if token != "" {
		target.RawQuery = url.Values{"pageToken": {token}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return listPage{}, Error.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return listPage{}, Error.Wrap(err)
	}
	defer func() { err = errs.Combine(err, response.Body.Close()) }()
	if response.StatusCode == http.StatusTooManyRequests {
		return listPage{}, ErrRateExceeded
	}
	if response.StatusCode != http.StatusOK {
		return listPage{}, Error.New("the list of runners: status %d", response.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxPlatformPageBytes))
	if err != nil {
		return listPage{}, Error.Wrap(err)
	}
	if err := json.Unmarshal(raw, &page); err != nil {
		return listPage{}, Error.Wrap(fmt.Errorf("the list of runners: %w", err))
	}
	return page, nil
}
