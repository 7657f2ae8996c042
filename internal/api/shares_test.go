package api

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/counter"
	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
)

// shareOf returns the share of a tenant with one key, as the leader sends it to daemons.
func shareOf(tenant, key string, milliShare int64) rpc.TenantShare {
	digest := clusterconfig.DigestOf(key)
	return rpc.TenantShare{Name: tenant, MilliShare: milliShare, KeyDigests: [][]byte{digest[:]}}
}

// TestJobsBeyondTheShareAreMarked checks that the counts of all daemons together decide, that the
// mark ends with the window, and that jobs with an unknown key are left to the leader.
func TestJobsBeyondTheShareAreMarked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const window = 5 * time.Second
		leader := counter.NewSet("hub", window, counter.SlotWidth, time.Now())
		daemons := []*tenantShares{newTenantShares("d1", window, time.Now()), newTenantShares("d2", window, time.Now())}
		exchange := func() {
			for _, s := range daemons {
				if request, due := s.NextRequest(time.Now(), time.Time{}); due {
					s.HandleResponse(leader.Answer(request, time.Now()), time.Now())
				}
			}
		}
		for _, s := range daemons {
			if s.admit("key", time.Now()) {
				t.Error("marked although no tenant is known")
			}
			s.replace([]rpc.TenantShare{shareOf("a", "key", 4000), shareOf("b", "free", 0)}, "digest")
		}
		within := 0
		for range 20 {
			for _, s := range daemons {
				for range 4 {
					if !s.admit("key", time.Now()) {
						within++
					}
				}
				if s.admit("free", time.Now()) || s.admit("unknown", time.Now()) {
					t.Error("marked although the tenant has no share or the key is unknown")
				}
			}
			exchange()
			time.Sleep(100 * time.Millisecond)
		}
		// The share is 20 jobs in the window. Two daemons may exceed it by the allowance of 4 each.
		if within < 20 || within > 20+3*4 {
			t.Errorf("%d of 160 jobs are within the share of 20, want 20 to 32", within)
		}
		time.Sleep(window + counter.SlotWidth)
		if daemons[0].admit("key", time.Now()) {
			t.Error("still marked after the window has passed")
		}
	})
}

// TestToleranceCountsAsWithinTheShare checks that jobs within the configured tolerance are not
// marked.
func TestToleranceCountsAsWithinTheShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTenantShares("d", 5*time.Second, time.Now())
		s.overrun, s.slack = 0.5, 7
		s.replace([]rpc.TenantShare{shareOf("a", "key", 2000)}, "digest")
		leader := counter.NewSet("hub", 5*time.Second, counter.SlotWidth, time.Now())
		within := 0
		for range 60 {
			if !s.admit("key", time.Now()) {
				within++
			}
			for range 2 { // the first response is to a peer that is still unknown
				if request, due := s.NextRequest(time.Now(), time.Time{}); due {
					s.HandleResponse(leader.Answer(request, time.Now()), time.Now())
				}
			}
		}
		if want := 10*3/2 + 7; within != want {
			t.Errorf("%d of 60 jobs are within a share of 10 with tolerance, want %d", within, want)
		}
	})
}

// TestIsolatedDaemonStopsAtItsAllowance checks that a daemon without any exchange admits no more
// than the allowance.
func TestIsolatedDaemonStopsAtItsAllowance(t *testing.T) {
	s := newTenantShares("d", 5*time.Second, time.Now())
	s.replace([]rpc.TenantShare{shareOf("a", "key", 4000)}, "digest")
	within := 0
	for range 30 {
		if !s.admit("key", time.Now()) {
			within++
		}
	}
	if want := int(shareAllowance(4000)); within != want {
		t.Errorf("%d jobs are within the share, want the allowance, %d", within, want)
	}
}

// TestBearerKey checks that the key is read from the Authorization header whatever the case of its
// scheme.
func TestBearerKey(t *testing.T) {
	for header, want := range map[string]string{"Bearer abc": "abc", "bearer  abc ": "abc", "Basic abc": "", "abc": "", "": "", "Bearer": "", "Bearer ": ""} {
		request := &http.Request{Header: http.Header{}}
		request.Header.Set("Authorization", header)
		if got := protocol.BearerKey(request); got != want {
			t.Errorf("%q: key %q, want %q", header, got, want)
		}
	}
}
