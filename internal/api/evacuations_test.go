package api

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// zoneLeader is a leader with the evacuation order of one zone.
type zoneLeader struct {
	order     rpc.ZoneEvacuation
	readDelay time.Duration // of the answer about the order in force
}

// respond handles a request as the leader does.
func (l *zoneLeader) respond(_ context.Context, request rpc.Request) rpc.Response {
	if request.Kind == rpc.KindZoneEvacuation {
		time.Sleep(l.readDelay)
		return rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(l.order)}
	}
	var order rpc.ZoneEvacuation
	if transport.Decode(request.Body, &order) != nil || order.Revision != l.order.Revision {
		return rpc.Response{Code: rpc.CodePreconditionFailed, Value: l.order.Revision}
	}
	l.order = rpc.ZoneEvacuation{Zone: order.Zone, Evacuated: order.Evacuated, Revision: order.Revision + 1}
	return rpc.Response{Code: rpc.CodeOK, Value: l.order.Revision}
}

// TestOrderReadAfterAPauseIsNotCarriedOut guards against an order to end an evacuation that waited at a
// paused daemon and took back an evacuation that was begun and acknowledged since.
func TestOrderReadAfterAPauseIsNotCarriedOut(t *testing.T) {
	for _, c := range []struct {
		name              string
		pause, sincePause time.Duration
		readDelay         time.Duration
		status            int
	}{
		{"no pause", 0, 0, 0, http.StatusOK},
		{"short pause", 500 * time.Millisecond, 0, 0, http.StatusOK},
		{"read right after the pause", 3 * time.Second, 0, 0, http.StatusServiceUnavailable},
		{"read soon after the pause", 3 * time.Second, 700 * time.Millisecond, 0, http.StatusServiceUnavailable},
		{"read long after the pause", 3 * time.Second, 2 * time.Second, 0, http.StatusOK},
		{"the leader answers too late", 0, 0, 900 * time.Millisecond, http.StatusServiceUnavailable},
		{"a pause and a slow answer", 500 * time.Millisecond, 0, 400 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leader := &zoneLeader{order: rpc.ZoneEvacuation{Zone: "z", Evacuated: true, Revision: 4}, readDelay: c.readDelay}
				s := newTestServer(leader.respond)
				s.pauses.EarliestArrival(time.Now())
				time.Sleep(c.pause)
				for passed := time.Duration(0); passed < c.sincePause; passed += 100 * time.Millisecond {
					s.pauses.EarliestArrival(time.Now())
					time.Sleep(100 * time.Millisecond)
				}
				response := serveWith(func(context echo.Context) error {
					context.SetParamNames("zone")
					context.SetParamValues("z")
					return s.serveEvacuationFinish(context)
				}, http.MethodPost, "/-/Evacuation.Finish/z", "")
				if response.Code != c.status || leader.order.Evacuated != (c.status != http.StatusOK) {
					t.Errorf("status %d, evacuated %v; want %d", response.Code, leader.order.Evacuated, c.status)
				}
			})
		})
	}
}
