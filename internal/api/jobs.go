package api

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
)

const (
	// defaultRequestBudget is the time limit of a client's request that names none.
	defaultRequestBudget = 3 * time.Second
	// responseReserve is the most that is subtracted from a client's time limit for the transit of
	// the response.
	responseReserve = 40 * time.Millisecond
)

// phase is a step in the processing of a request by this process.
type phase string

const (
	phaseRead     phase = "read"
	phaseValidate phase = "validate"
	phaseForward  phase = "forward"
	phaseRespond  phase = "respond"
	phaseDone     phase = "done"
)

// phaseHandlers process each phase and return the next one. An error ends the request and is
// returned to the client.
var phaseHandlers = map[phase]func(*jobRequest) (phase, error){
	phaseRead:     (*jobRequest).read,
	phaseValidate: (*jobRequest).validate,
	phaseForward:  (*jobRequest).forward,
	phaseRespond:  (*jobRequest).respond,
}

// jobRequest is the state of a client's request about a job while this process handles it.
type jobRequest struct {
	server   *Server
	client   echo.Context
	ctx      context.Context // ends at the client's deadline
	kind     string          // of the request to the leader
	body     []byte
	job      rpc.JobRequest
	response rpc.Response // of the leader
}

// jobRequestKinds maps HTTP methods to the kinds of requests to the leader.
var jobRequestKinds = map[string]string{
	http.MethodPost:   rpc.KindSubmitJob,
	http.MethodGet:    rpc.KindJobStatus,
	http.MethodDelete: rpc.KindCancelJob,
}

// serveJob serves POST, GET and DELETE of PREFIX + ID, and GET of PREFIX.
func (s *Server) serveJob(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), remainingTime(c.Request()))
	defer cancel()
	request := &jobRequest{server: s, client: c, ctx: ctx}
	for next := phaseRead; next != phaseDone; {
		var err error
		if next, err = phaseHandlers[next](request); err != nil {
			request.writeError(statusOf(err))
			return nil
		}
	}
	return nil
}

// remainingTime is how long the client will still wait, less a reserve for the transit of the
// response: a tenth of that time, responseReserve at most.
func remainingTime(request *http.Request) time.Duration {
	left := protocol.TimeLeft(request, defaultRequestBudget)
	return left - min(left/10, responseReserve)
}

// writeError responds with an error. If the request's body was not read, the connection is closed,
// since the body would otherwise be parsed as the next request.
func (r *jobRequest) writeError(err *statusError) {
	header := r.client.Response().Header()
	err.setRetryAfter(header)
	err.setClose(header)
	if err.status >= 400 && err.status != http.StatusNotFound && err.status != http.StatusGone {
		if r.body == nil && r.client.Request().ContentLength != 0 {
			header.Set("Connection", "close")
		}
	}
	_ = r.client.JSON(err.status, map[string]string{"error": err.text})
}

// read reads the request within the size limits of the configuration in force.
func (r *jobRequest) read() (phase, error) {
	request := r.client.Request()
	r.kind = jobRequestKinds[request.Method]
	if r.kind == "" {
		return "", &statusError{status: http.StatusMethodNotAllowed, text: "this method is not served"}
	}
	size := protocol.HeaderSize(request)
	tooLarge := func(l *sizeLimits) bool { return size > l.headerBytes }
	if _, err := r.server.checkSize(r.ctx, tooLarge, errHeaderTooLarge); err != nil {
		return "", err
	}
	body, err := r.readBody(request)
	if err != nil {
		return "", err
	}
	r.body = body
	r.job = rpc.JobRequest{Host: request.Host, Path: request.URL.Path, Key: protocol.BearerKey(request)}
	return phaseValidate, nil
}

// readBody reads a body within the size limit. The limit may be raised while the body is being
// received.
func (r *jobRequest) readBody(request *http.Request) ([]byte, error) {
	announcedTooLarge := func(l *sizeLimits) bool { return request.ContentLength > l.bodyBytes }
	limits, err := r.server.checkSize(r.ctx, announcedTooLarge, errBodyTooLarge)
	if err != nil {
		return nil, err
	}
	var body []byte
	for {
		// Read one byte more than allowed: if it is there, the body is too large.
		more, err := io.ReadAll(io.LimitReader(request.Body, limits.bodyBytes+1-int64(len(body))))
		if err != nil {
			return nil, bodyError(err)
		}
		if body == nil {
			body = more // without a copy
		} else {
			body = append(body, more...)
		}
		if int64(len(body)) <= limits.bodyBytes {
			return body, nil
		}
		tooLarge := func(l *sizeLimits) bool { return int64(len(body)) > l.bodyBytes }
		if limits, err = r.server.checkSize(r.ctx, tooLarge, errBodyTooLarge); err != nil {
			return nil, err
		}
	}
}

// validate decodes and validates a submitted job.
func (r *jobRequest) validate() (phase, error) {
	if r.kind != rpc.KindSubmitJob {
		return phaseForward, nil
	}
	if err := reserveDecoded(r.client.Request().Context(), r.body, documentCopies); err != nil {
		return "", err
	}
	if err := json.Unmarshal(r.body, &r.job.Job); err != nil {
		return "", badRequest("the job cannot be read: " + err.Error())
	}
	return phaseForward, ValidateJob(&r.job.Job)
}

// forward sends the request to the leader. Requests that change a job are recorded in the trace.
func (r *jobRequest) forward() (phase, error) {
	if r.kind == rpc.KindJobStatus {
		r.response = r.server.Call(r.ctx, r.kind, &r.job)
		return phaseRespond, nil
	}
	if r.kind == rpc.KindSubmitJob {
		r.job.BeyondShare = r.server.shares.admit(r.job.Key, time.Now())
	}
	jobID := r.job.Path[strings.LastIndexByte(r.job.Path, '/')+1:]
	r.server.env.Trace.Record(jobID, "taken", 0, r.kind)
	r.response = r.server.Call(r.ctx, r.kind, &r.job)
	r.server.env.Trace.Record(jobID, "answered", int64(r.response.Code), r.kind)
	return phaseRespond, nil
}

// respond writes the response.
func (r *jobRequest) respond() (phase, error) {
	if err := errorOf(r.operation(), r.response); err != nil {
		return "", err
	}
	_ = r.client.JSON(http.StatusOK, r.responseBody())
	return phaseDone, nil
}

// responseBody returns the body of a response with status 200.
func (r *jobRequest) responseBody() any {
	switch {
	case r.kind != rpc.KindJobStatus:
		return struct{}{}
	case r.response.Text == "count":
		return map[string]int64{"waitingCount": r.response.Value}
	}
	return map[string]string{"state": r.response.Text}
}

// operation returns the kind of call, which determines the status if the outcome is unknown.
func (r *jobRequest) operation() operation {
	if r.kind == rpc.KindJobStatus {
		return jobRead
	}
	return jobChange
}
