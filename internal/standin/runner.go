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
	// defaultWorkTime is how long a runner works on a request that doesn't say.
	defaultWorkTime = 150 * time.Millisecond
	// fillBytes is the size of each part in which a long answer is written.
	fillBytes = 16 << 10
)

// A request may say in its query how it is served: `work`, how many ms a runner works on
// it, and `size`, of how many bytes the answer is at least.
const (
	workParameter = "work"
	sizeParameter = "size"
)

// serveRequests answers requests as a runner does.
func (p *Platform) serveRequests(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get(protocol.HeaderAttemptID)
		w.Header().Set(protocol.HeaderAttemptID, attempt)
		if r.Header.Get(protocol.HeaderTargetRunner) != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		p.noteArrival(id)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the request has not come in whole
		}
		p.mu.Lock()
		p.runs[attempt]++
		p.mu.Unlock()
		run := Run{Attempt: attempt, Runner: id, BeganAt: time.Now()}
		p.observe(run)
		run.Broken = !work(w, r, len(body))
		run.EndedAt, run.RunnerEnded = time.Now(), p.hasEnded(id)
		p.observe(run)
	})
}

// noteArrival records that the head of a request has come to a runner.
func (p *Platform) noteArrival(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals[id] = time.Now()
}

// observe tells of a run.
func (p *Platform) observe(run Run) {
	if p.options.Observe != nil {
		p.options.Observe(run)
	}
}

// work runs a request and writes its answer; false if the caller has gone before.
func work(w http.ResponseWriter, r *http.Request, bodyBytes int) bool {
	timer := time.NewTimer(workTime(r))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return false
	}
	return writeAnswer(w, Answer(r.Header.Get(protocol.HeaderAttemptID), r.URL.Path, bodyBytes), answerSize(r))
}

// Answer is the answer to an attempt, by its path and the length of its body. A longer
// one is filled up with spaces.
func Answer(attempt, path string, bodyBytes int) string {
	return fmt.Sprintf("%s %s %d", attempt, path, bodyBytes)
}

// writeAnswer writes an answer and fills it up to a size; false if the caller has gone.
func writeAnswer(w http.ResponseWriter, text string, size int) bool {
	w.Header().Set("Content-Length", strconv.Itoa(max(len(text), size)))
	if _, err := io.WriteString(w, text); err != nil {
		return false
	}
	fill := strings.Repeat(" ", fillBytes)
	for left := size - len(text); left > 0; left -= fillBytes {
		if _, err := io.WriteString(w, fill[:min(left, fillBytes)]); err != nil {
			return false
		}
	}
	return http.NewResponseController(w).Flush() == nil
}

// workTime is how long a runner works on a request.
func workTime(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.URL.Query().Get(workParameter))
	if err != nil {
		return defaultWorkTime
	}
	return time.Duration(ms) * time.Millisecond
}

// answerSize is the least size of the answer to a request, in bytes.
func answerSize(r *http.Request) int {
	size, err := strconv.Atoi(r.URL.Query().Get(sizeParameter))
	if err != nil {
		return 0
	}
	return size
}
