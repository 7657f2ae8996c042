package api

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// evacuationAttempts is how often a daemon reads a zone's evacuation order and changes it, where
// other orders come at the same time.
const evacuationAttempts = 3

// serveEvacuationBegin serves POST /-/Evacuation.Begin/ZONE: the zone's runners get nothing
// more. 200 once that is committed; an order that is repeated is answered alike.
func (s *Server) serveEvacuationBegin(c echo.Context) error { return s.serveEvacuation(c, true) }

// serveEvacuationFinish serves POST /-/Evacuation.Finish/ZONE: the zone's runners are used
// again.
func (s *Server) serveEvacuationFinish(c echo.Context) error { return s.serveEvacuation(c, false) }

// serveEvacuation carries an operator's order about a zone to the leader. 404 for a zone that
// the settings don't name.
func (s *Server) serveEvacuation(c echo.Context, evacuated bool) error {
	zone := c.Param("zone")
	if _, known := s.settings.Zones[zone]; !known && (len(s.settings.Zones) > 0 || !validName(zone)) {
		return writeStatusError(c, &statusError{status: http.StatusNotFound, text: "no such zone"})
	}
	ctx, cancel := s.operatorContext(c.Request().Context(), 0)
	defer cancel()
	if err := s.orderEvacuation(ctx, zone, evacuated); err != nil {
		return writeStatusError(c, statusOf(err))
	}
	return c.JSONBlob(http.StatusOK, []byte("{}"))
}

// orderEvacuation has an order about a zone committed. It names the order that is in force
// when it comes in: a copy of it that reaches the leader late, behind a later order, changes
// nothing then.
func (s *Server) orderEvacuation(ctx context.Context, zone string, evacuated bool) error {
	sent := false
	for range evacuationAttempts {
		response := s.Call(ctx, rpc.KindZoneEvacuation, zone)
		if err := errorOf(configRead, response); err != nil {
			if sent {
				return unknownOutcomes[configChange]
			}
			return err
		}
		var order rpc.ZoneEvacuation
		if err := transport.Decode(response.Body, &order); err != nil {
			return err
		}
		if sent && order.Evacuated == evacuated {
			return nil // by a copy of this order, or another one like it
		}
		if sent {
			break // another order has come since
		}
		order.Evacuated, sent = evacuated, true
		response = s.Call(ctx, rpc.KindEvacuateZone, order)
		if response.Code != rpc.CodePreconditionFailed {
			return errorOf(configChange, response)
		}
	}
	return errOrderOvertaken
}

// errOrderOvertaken: another order about the zone came at the same time.
var errOrderOvertaken = &statusError{http.StatusServiceUnavailable, "another order about the zone came meanwhile: send it again if it still holds", 1}
