package api

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"tealpond/internal/coordination"
	"tealpond/internal/discovery"
	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

const (
	// coordinationRequestTimeout limits an application's call. It is below one second, after which
	// applications switch to another daemon.
	coordinationRequestTimeout = 850 * time.Millisecond
	// maxCoordinationBodyBytes is the maximum size of the body of an application's call.
	maxCoordinationBodyBytes = 64 << 10
	// maxCoordinationNameBytes is the maximum length of the name of a lock, counter, key or lock
	// holder.
	maxCoordinationNameBytes = 256
)

// addCoordinationRoutes adds the routes of the applications' API: locks, numbers, keys and watches.
func (s *Server) addCoordinationRoutes(e *echo.Echo) {
	e.POST("/-/Locks.Begin/:id", s.serveLockBegin)
	e.POST("/-/Locks.Heartbeat/:id", s.serveLockHeartbeat)
	e.POST("/-/Locks.Finish/:id", s.serveLockFinish)
	e.POST("/-/numbers/:id", s.serveNumber)
	e.POST("/-/Cells.Replace/:id", s.serveKeyReplace)
	e.GET("/-/Cells.Read/:id", s.serveKeyRead)
	e.GET("/-/watch/:id", s.serveWatch)
}

// serveLockBegin serves POST /-/Locks.Begin/ID: 200 with the fencing token, or 409 while another
// holder has the lock.
func (s *Server) serveLockBegin(c echo.Context) error {
	return s.serveLock(c, rpc.KindAcquireLock, func(name string, body protocol.LockRequest) any {
		return coordination.Acquire{Name: name, Holder: body.Holder, HoldMs: body.HoldMs}
	}, func(response rpc.Response) any { return protocol.LockGrant{Fence: response.Value} })
}

// serveLockHeartbeat serves POST /-/Locks.Heartbeat/ID: 200, or 409 if the caller no longer holds
// the lock.
func (s *Server) serveLockHeartbeat(c echo.Context) error {
	return s.serveLock(c, rpc.KindRenewLock, func(name string, body protocol.LockRequest) any {
		return coordination.Renew{Name: name, Holder: body.Holder, Fence: body.Fence, HoldMs: body.HoldMs}
	}, emptyResponseBody)
}

// serveLockFinish serves POST /-/Locks.Finish/ID: 200, whether or not the caller held the lock.
func (s *Server) serveLockFinish(c echo.Context) error {
	return s.serveLock(c, rpc.KindReleaseLock, func(name string, body protocol.LockRequest) any {
		return coordination.Release{Name: name, Holder: body.Holder, Fence: body.Fence}
	}, emptyResponseBody)
}

// emptyResponseBody is the response body of a call that returns only its status.
func emptyResponseBody(rpc.Response) any { return struct{}{} }

// serveLock serves a call about a lock. It sends the leader a request of the given kind, built from
// the call's body by request, and converts the leader's response by responseBody.
func (s *Server) serveLock(
	c echo.Context, kind string,
	request func(name string, body protocol.LockRequest) any, responseBody func(rpc.Response) any,
) error {
	name, body := c.Param("id"), protocol.LockRequest{}
	if err := readCoordinationBody(c, name, &body); err != nil {
		return writeStatusError(c, err)
	}
	switch {
	case !validName(body.Holder):
		return writeStatusError(c, badRequest("holder: missing or too long"))
	case kind != rpc.KindReleaseLock && body.HoldMs <= 0:
		return writeStatusError(c, badRequest("holdMs: missing or not above 0"))
	}
	return s.callCoordination(c, coordinationChange, kind, request(name, body), responseBody)
}

// serveNumber serves POST /-/numbers/ID: a number greater than all numbers returned before for this
// name.
func (s *Server) serveNumber(c echo.Context) error {
	name := c.Param("id")
	if err := readCoordinationBody(c, name, &struct{}{}); err != nil {
		return writeStatusError(c, err)
	}
	return s.callCoordination(c, coordinationChange, rpc.KindNextNumber, name,
		func(response rpc.Response) any { return protocol.NumberResponse{Value: response.Value} })
}

// serveKeyReplace serves POST /-/Cells.Replace/ID: 200 with the new revision, or 412 with the key's
// current revision if it differs from the one that the caller expects.
func (s *Server) serveKeyReplace(c echo.Context) error {
	name, body := c.Param("id"), protocol.PutRequest{}
	if err := readCoordinationBody(c, name, &body); err != nil {
		return writeStatusError(c, err)
	}
	if body.Expected < 0 {
		return writeStatusError(c, badRequest("active: below 0"))
	}
	return s.callCoordination(c, coordinationChange, rpc.KindPutKey,
		coordination.Put{Key: name, Value: body.Value, Expected: body.Expected},
		func(response rpc.Response) any { return protocol.RevisionResponse{Revision: response.Value} })
}

// serveKeyRead serves GET /-/Cells.Read/ID: the key's value and revision, or 404.
func (s *Server) serveKeyRead(c echo.Context) error {
	name := c.Param("id")
	if !validName(name) {
		return writeStatusError(c, errInvalidName)
	}
	return s.callCoordination(c, coordinationRead, rpc.KindReadKey, name, func(response rpc.Response) any {
		var value coordination.KeyValue
		if transport.Decode(response.Body, &value) != nil {
			return nil
		}
		return protocol.KeyResponse{Value: value.Value, Revision: value.Revision}
	})
}

// callCoordination sends an application's call to the leader and writes the response.
func (s *Server) callCoordination(
	c echo.Context, call operation, kind string, body any, responseBody func(rpc.Response) any,
) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), coordinationRequestTimeout)
	defer cancel()
	response := s.Call(discovery.WithLeaderTimeout(ctx, coordinationRequestTimeout), kind, body)
	return writeCoordinationResponse(c, call, response, responseBody)
}

// writeCoordinationResponse writes the leader's response to an application's call.
func writeCoordinationResponse(
	c echo.Context, call operation, response rpc.Response, responseBody func(rpc.Response) any,
) error {
	if response.Code == rpc.CodePreconditionFailed {
		return c.JSON(http.StatusPreconditionFailed, protocol.RevisionResponse{Revision: response.Value})
	}
	if err := errorOf(call, response); err != nil {
		return writeStatusError(c, statusOf(err))
	}
	body := responseBody(response)
	if body == nil {
		return writeStatusError(c,
			&statusError{status: http.StatusInternalServerError, text: "the leader's response can't be read"})
	}
	return c.JSON(http.StatusOK, body)
}

// serveWatch serves GET /-/watch/ID: the puts to a group of keys after the revision given in the
// query. It responds as soon as there are any, or with none after waitMs, and with 410 if the
// history since that revision is no longer kept. Without a revision it returns the current one, if
// there is one.
func (s *Server) serveWatch(c echo.Context) error {
	group := c.Param("id")
	if !validName(group) {
		return writeStatusError(c, errInvalidName)
	}
	after, afterErr := queryNumber(c, "dependsOn")
	waitMs, waitErr := queryNumber(c, "waitMs")
	if afterErr != nil || waitErr != nil {
		return writeStatusError(c, badRequest("dependsOn, waitMs: no number, or below 0"))
	}
	wait := time.Duration(min(waitMs, timing.MaxWatchWait.Milliseconds())) * time.Millisecond
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait+coordinationRequestTimeout)
	defer cancel()
	// A daemon that shuts down ends the watches that it holds, so that clients resume them at
	// another daemon at once.
	defer context.AfterFunc(s.shutdownCtx, cancel)()
	ctx = discovery.WithMaxHold(discovery.WithLeaderTimeout(ctx, coordinationRequestTimeout), wait)
	response := s.Call(ctx, rpc.KindWatchKeys, rpc.KeyWatch{Group: group, After: after, WaitMs: wait.Milliseconds()})
	return writeCoordinationResponse(c, coordinationRead, response, watchResponseBody)
}

// watchResponseBody converts the leader's response to a watch.
func watchResponseBody(response rpc.Response) any {
	var update coordination.WatchResult
	if transport.Decode(response.Body, &update) != nil {
		return nil
	}
	watch := protocol.WatchResponse{Events: make([]protocol.WatchEvent, len(update.Events)), Revision: update.Revision}
	for i, event := range update.Events {
		watch.Events[i] = protocol.WatchEvent{Name: event.Name, Value: event.Value, Revision: event.Revision}
	}
	return watch
}

// queryNumber parses a number from the query; 0 if it is missing.
func queryNumber(c echo.Context, name string) (int64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 63)
	return int64(number), err
}

var errInvalidName = badRequest("the name is empty, too long, or has control characters")

// validName reports whether the name of a lock, counter, key or lock holder is valid.
func validName(name string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return name != "" && len(name) <= maxCoordinationNameBytes && !strings.ContainsFunc(name, isControl)
}

// readCoordinationBody reads and decodes the body of a call about the named object.
func readCoordinationBody(c echo.Context, name string, body any) *statusError {
	if !validName(name) {
		return errInvalidName
	}
	raw, readErr := readBody(c, maxCoordinationBodyBytes)
	if readErr != nil || len(raw) == 0 {
		return readErr
	}
	if err := reserveDecoded(c.Request().Context(), raw, valueCopies); err != nil {
		return err
	}
	if err := json.Unmarshal(raw, body); err != nil {
		return badRequest("the body can't be read: " + err.Error())
	}
	return nil
}
