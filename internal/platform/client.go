// Package platform reads the list of runners from the platform on which the cluster runs. It
// only reads. Callers decide who reads and how often, since each call has a cost.
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
	// clientRateShare is the fraction of the platform's rate limit that a client uses. After a
	// change of leader there may be two clients.
	clientRateShare = 0.45
	// maxPageAttempts is the maximum number of attempts per page while rate limited, and
	// rateRetryDelay is the delay between two attempts.
	maxPageAttempts = 6
	rateRetryDelay  = 250 * time.Millisecond
	// callTimeout is the timeout of one call to the platform.
	callTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection is kept between two reads of the list.
	idleTimeout = 30 * time.Second
	// maxPlatformPages is the maximum number of pages of a list.
	maxPlatformPages = 1000
	// maxPlatformPageBytes is the maximum size of a page, in bytes.
	maxPlatformPageBytes = 4 << 20
)

// Error is the class of all errors of this package.
var Error = errs.Class("platform")

// ErrRateExceeded is returned if the platform refused a call because of its rate limit.
var ErrRateExceeded = Error.New("call rate limit exceeded")

// Client reads the runner list of one platform.
type Client struct {
	address string // HOST:PORT
	http    *http.Client
	limiter *rate.Limiter
}

// NewClient returns a client of the platform at the given address, which accepts
// callsPerSecond from all daemons together; 0 means unlimited.
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

// newLimiter returns a limiter that keeps a client below the platform's rate limit.
func newLimiter(callsPerSecond float64) *rate.Limiter {
	if callsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	clientRate := callsPerSecond * clientRateShare
	return rate.NewLimiter(rate.Limit(clientRate), max(int(clientRate), 1))
}

// listedRunner is an entry of the platform's list. Unknown members are ignored.
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

// stateDraining is the state of a runner that is about to shut down.
const stateDraining = "draining"

// List reads the whole list, page by page. If a page cannot be read it returns an error and no
// runners, since with a partial list the other runners would appear to be gone.
func (c *Client) List(ctx context.Context) ([]registry.Runner, error) {
	var runners []registry.Runner
	token := ""
	for range maxPlatformPages {
		page, err := c.pageWithRetry(ctx, token)
		if err != nil {
			return nil, err
		}
		for _, listed := range page.Runners {
			runners = append(runners, registry.Runner{
				ID: listed.ID, Service: listed.Service, Address: listed.Address, Zone: listed.Zone,
				Slots: listed.Slots, Draining: listed.State == stateDraining, WarmUpMs: listed.ColdLeftMs,
			})
		}
		if page.NextToken == nil || *page.NextToken == "" {
			return runners, nil
		}
		token = *page.NextToken
	}
	return nil, Error.New("runner list has more than %d pages", maxPlatformPages)
}

// pageWithRetry reads one page within the client's rate, and retries if the platform refuses
// the call because of its rate limit. Restarting from the first page might never complete.
func (c *Client) pageWithRetry(ctx context.Context, token string) (page listPage, err error) {
	for range maxPageAttempts {
		if err := c.limiter.Wait(ctx); err != nil {
			return listPage{}, Error.Wrap(err)
		}
		if page, err = c.page(ctx, token); !errors.Is(err, ErrRateExceeded) {
			break
		}
		select {
		case <-time.After(rateRetryDelay):
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
		return listPage{}, Error.New("list runners: status %d, want 200", response.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxPlatformPageBytes))
	if err != nil {
		return listPage{}, Error.Wrap(err)
	}
	if err := json.Unmarshal(raw, &page); err != nil {
		return listPage{}, Error.Wrap(fmt.Errorf("decode runner list: %w", err))
	}
	return page, nil
}
