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
	// coordinationRequestTimeout is how long an application's call may take; applications turn to
	// another daemon after a second.
	coordinationRequestTimeout = 850 * time.Millisecond
	// maxCoordinationBodyBytes is the size of the largest body of an application's call, in bytes.
	maxCoordinationBodyBytes = 64 << 10
	// maxCoordinationNameBytes is the length of the longest name of a lock, a counter or a key, and of
	// a holder, in bytes.
	maxCoordinationNameBytes = 256
)

// addCoordinationRoutes adds the calls of applications: locks, numbers, keys and watches.
func (s *Server) addCoordinationRoutes(e *echo.Echo) {
	e.POST("/-/Locks.Begin/:id", s.serveLockBegin)
	e.POST("/-/Locks.Heartbeat/:id", s.serveLockHeartbeat)
	e.POST("/-/Locks.Finish/:id", s.serveLockFinish)
	e.POST("/-/numbers/:id", s.serveNumber)
	e.POST("/-/Cells.Replace/:id", s.serveKeyReplace)
	e.GET("/-/Cells.Read/:id", s.serveKeyRead)
	e.GET("/-/watch/:id", s.serveWatch)
}

// serveLockBegin serves POST /-/Locks.Begin/ID: 200 with the fence, or 409 while another
// holds the lock.
func (s *Server) serveLockBegin(c echo.Context) error {
	return s.serveLock(c, rpc.KindAcquireLock, func(name string, body protocol.LockRequest) any {
		return coordination.Acquire{Name: name, Holder: body.Holder, HoldMs: body.HoldMs}
	}, func(response rpc.Response) any { return protocol.LockGrant{Fence: response.Value} })
}

// serveLockHeartbeat serves POST /-/Locks.Heartbeat/ID: 200, or 409 once the lock is lost.
func (s *Server) serveLockHeartbeat(c echo.Context) error {
	return s.serveLock(c, rpc.KindRenewLock, func(name string, body protocol.LockRequest) any {
		return coordination.Renew{Name: name, Holder: body.Holder, Fence: body.Fence, HoldMs: body.HoldMs}
	}, emptyAnswer)
}

// serveLockFinish serves POST /-/Locks.Finish/ID: 200, whether or not the lock was held.
func (s *Server) serveLockFinish(c echo.Context) error {
	return s.serveLock(c, rpc.KindReleaseLock, func(name string, body protocol.LockRequest) any {
		return coordination.Release{Name: name, Holder: body.Holder, Fence: body.Fence}
	}, emptyAnswer)
}

// emptyAnswer is the answer to a call that brings nothing but its status.
func emptyAnswer(rpc.Response) any { return struct{}{} }

// serveLock serves a call about a lock: by a request of a kind to the leader, made of the
// call's body, whose response becomes the answer.
func (s *Server) serveLock(c echo.Context, kind string, request func(name string, body protocol.LockRequest) any, answer func(rpc.Response) any) error {
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
	return s.answerCoordination(c, coordinationChange, kind, request(name, body), answer)
}

// serveNumber serves POST /-/numbers/ID: a number above all that were given under the name.
func (s *Server) serveNumber(c echo.Context) error {
	name := c.Param("id")
	if err := readCoordinationBody(c, name, &struct{}{}); err != nil {
		return writeStatusError(c, err)
	}
	return s.answerCoordination(c, coordinationChange, rpc.KindNextNumber, name,
		func(response rpc.Response) any { return protocol.NumberResponse{Value: response.Value} })
}

// serveKeyReplace serves POST /-/Cells.Replace/ID: 200 with the new revision, or 412 with
// that of the key if it isn't the one that the caller expects.
func (s *Server) serveKeyReplace(c echo.Context) error {
	name, body := c.Param("id"), protocol.PutRequest{}
	if err := readCoordinationBody(c, name, &body); err != nil {
		return writeStatusError(c, err)
	}
	if body.Expected < 0 {
		return writeStatusError(c, badRequest("active: below 0"))
	}
	return s.answerCoordination(c, coordinationChange, rpc.KindPutKey, coordination.Put{Key: name, Value: body.Value, Expected: body.Expected},
		func(response rpc.Response) any { return protocol.RevisionResponse{Revision: response.Value} })
}

// serveKeyRead serves GET /-/Cells.Read/ID: the key's value and revision, or 404.
func (s *Server) serveKeyRead(c echo.Context) error {
	name := c.Param("id")
	if !validName(name) {
		return writeStatusError(c, errBadName)
	}
	return s.answerCoordination(c, coordinationRead, rpc.KindReadKey, name, func(response rpc.Response) any {
		var value coordination.KeyValue
		if transport.Decode(response.Body, &value) != nil {
			return nil
		}
		return protocol.KeyResponse{Value: value.Value, Revision: value.Revision}
	})
}

// answerCoordination carries an application's call to the leader and answers it.
func (s *Server) answerCoordination(c echo.Context, call operation, kind string, body any, answer func(rpc.Response) any) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), coordinationRequestTimeout)
	defer cancel()
	response := s.Call(discovery.WithLeaderTimeout(ctx, coordinationRequestTimeout), kind, body)
	return writeCoordinationAnswer(c, call, response, answer)
}

// writeCoordinationAnswer answers an application's call with the leader's response.
func writeCoordinationAnswer(c echo.Context, call operation, response rpc.Response, answer func(rpc.Response) any) error {
	if response.Code == rpc.CodePreconditionFailed {
		return c.JSON(http.StatusPreconditionFailed, protocol.RevisionResponse{Revision: response.Value})
	}
	if err := errorOf(call, response); err != nil {
		return writeStatusError(c, statusOf(err))
	}
	body := answer(response)
	if body == nil {
		return writeStatusError(c, &statusError{status: http.StatusInternalServerError, text: "the leader's response can't be read"})
	}
	return c.JSON(http.StatusOK, body)
}

// serveWatch serves GET /-/watch/ID: the puts of a group of keys after the revision that
// the query names, as soon as there are any, and none once waitMs is over; 410 if their
// history is no longer kept. Without a revision it tells the present one, if there is one.
func (s *Server) serveWatch(c echo.Context) error {
	group := c.Param("id")
	if !validName(group) {
		return writeStatusError(c, errBadName)
	}
	after, errAfter := queryNumber(c, "dependsOn")
	waitMs, errWait := queryNumber(c, "waitMs")
	if errAfter != nil || errWait != nil {
		return writeStatusError(c, badRequest("dependsOn, waitMs: no number, or below 0"))
	}
	wait := time.Duration(min(waitMs, timing.MaxWatchWait.Milliseconds())) * time.Millisecond
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait+coordinationRequestTimeout)
	defer cancel()
	// A daemon that leaves answers the watches that it holds, so that they are resumed
	// elsewhere at once.
	defer context.AfterFunc(s.leavingCtx, cancel)()
	ctx = discovery.WithHold(discovery.WithLeaderTimeout(ctx, coordinationRequestTimeout), wait)
	response := s.Call(ctx, rpc.KindWatchKeys, rpc.KeyWatch{Group: group, After: after, WaitMs: wait.Milliseconds()})
	return writeCoordinationAnswer(c, coordinationRead, response, watchAnswer)
}

// watchAnswer is the answer to a watch.
func watchAnswer(response rpc.Response) any {
	var update coordination.WatchResult
	if transport.Decode(response.Body, &update) != nil {
		return nil
	}
	answer := protocol.WatchResponse{Events: make([]protocol.WatchEvent, len(update.Events)), Revision: update.Revision}
	for i, event := range update.Events {
		answer.Events[i] = protocol.WatchEvent{Name: event.Name, Value: event.Value, Revision: event.Revision}
	}
	return answer
}

// queryNumber reads a number of the query; 0 if it isn't there.
func queryNumber(c echo.Context, name string) (int64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 63)
	return int64(number), err
}

var errBadName = badRequest("the name is empty, too long, or has control characters")

// validName reports whether a name of a lock, a counter, a key or a holder is in order.
func validName(name string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return name != "" && len(name) <= maxCoordinationNameBytes && !strings.ContainsFunc(name, isControl)
}

// readCoordinationBody reads and decodes the body of a call about a name.
func readCoordinationBody(c echo.Context, name string, body any) *statusError {
	if !validName(name) {
		return errBadName
	}
	raw, unread := readBody(c, maxCoordinationBodyBytes)
	if unread != nil || len(raw) == 0 {
		return unread
	}
	if err := json.Unmarshal(raw, body); err != nil {
		return badRequest("the body can't be read: " + err.Error())
	}
	return nil
}
