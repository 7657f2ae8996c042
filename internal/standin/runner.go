package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tealpond/internal/protocol"
)

const (
	// defaultProcessingTime is how long a runner works on a request without a work parameter.
	defaultProcessingTime = 150 * time.Millisecond
	// paddingChunkBytes is the size of the writes by which an answer is padded.
	paddingChunkBytes = 16 << 10
)

// Query parameters of a request: `work` is the processing time in ms, and `size` the least size of
// the answer in bytes.
const (
	workParameter = "work"
	sizeParameter = "size"
)

// serveRequests returns the handler of a runner.
func (p *Platform) serveRequests(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get(protocol.HeaderAttemptID)
		w.Header().Set(protocol.HeaderAttemptID, attempt)
		if r.Header.Get(protocol.HeaderTargetRunner) != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		p.recordArrival(id)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the request did not arrive completely
		}
		p.mu.Lock()
		p.runs[attempt]++
		p.mu.Unlock()
		run := Run{AttemptID: attempt, RunnerID: id, StartedAt: time.Now()}
		p.observe(run)
		run.Aborted = !processRequest(w, r, len(body))
		run.EndedAt, run.RunnerEnded = time.Now(), p.hasEnded(id)
		p.observe(run)
	})
}

// recordArrival records that the header of a request has arrived at a runner.
func (p *Platform) recordArrival(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals[id] = time.Now()
}

// observe reports a run to Options.Observe.
func (p *Platform) observe(run Run) {
	if p.options.Observe != nil {
		p.options.Observe(run)
	}
}

// processRequest processes a request and writes its answer. It returns false if the caller
// disconnected before the answer was written.
func processRequest(w http.ResponseWriter, r *http.Request, bodyBytes int) bool {
	timer := time.NewTimer(processingTime(r))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return false
	}
	return writeAnswer(w, ExpectedAnswer(r.Header.Get(protocol.HeaderAttemptID), r.URL.Path, bodyBytes), minAnswerSize(r))
}

// ExpectedAnswer returns the answer to an attempt, which depends on the request's path and the
// length of its body. Answers of a larger size are padded with spaces.
func ExpectedAnswer(attempt, path string, bodyBytes int) string {
	return fmt.Sprintf("%s %s %d", attempt, path, bodyBytes)
}

// writeAnswer writes an answer and pads it to a size. It returns false if the caller has disconnected.
func writeAnswer(w http.ResponseWriter, text string, size int) bool {
	w.Header().Set("Content-Length", strconv.Itoa(max(len(text), size)))
	if _, err := io.WriteString(w, text); err != nil {
		return false
	}
	padding := strings.Repeat(" ", paddingChunkBytes)
	for left := size - len(text); left > 0; left -= paddingChunkBytes {
		if _, err := io.WriteString(w, padding[:min(left, paddingChunkBytes)]); err != nil {
			return false
		}
	}
	return http.NewResponseController(w).Flush() == nil
}

// processingTime returns how long a runner works on a request.
func processingTime(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.URL.Query().Get(workParameter))
	if err != nil {
		return defaultProcessingTime
	}
	return time.Duration(ms) * time.Millisecond
}

// minAnswerSize returns the least size of the answer to a request, in bytes.
func minAnswerSize(r *http.Request) int {
	size, err := strconv.Atoi(r.URL.Query().Get(sizeParameter))
	if err != nil {
		return 0
	}
	return size
}
