package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"tealpond/internal/agent"
	"tealpond/internal/protocol"
)

// Paths of the calls that start and stop a run.
const (
	startPath = "/-/run-start"
	stopPath  = "/-/run-stop"
)

// Handler returns an HTTP handler for the calls of an agent to the worker's runner.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+startPath, serveRunnerCall[protocol.StartRequest](w))
	mux.HandleFunc("POST "+stopPath, serveRunnerCall[protocol.StopRequest](w))
	mux.HandleFunc("POST "+keepAlivePath, serveRunnerCall[protocol.KeepAliveRequest](w))
	return mux
}

// serveRunnerCall returns the handler of the calls with a body of the given type.
func serveRunnerCall[Body any](w *Worker) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var body Body
		if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		response := w.Call(request.Context(), request.Header.Get(protocol.HeaderTargetRunner), request.URL.Path, body)
		if response.StatusCode == 0 {
			panic(http.ErrAbortHandler) // aborts the connection without an answer
		}
		writeRunnerResponse(writer, request.URL.Path, response)
	}
}

// writeRunnerResponse writes the response of a runner to a call.
func writeRunnerResponse(writer http.ResponseWriter, path string, response agent.RunnerResponse) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(response.StatusCode)
	answer := any(response.Run)
	if path == keepAlivePath && response.StatusCode == http.StatusOK {
		answer = response.KeepAlive
	}
	_ = json.NewEncoder(writer).Encode(answer) // the caller may have disconnected
}

// SendHeartbeats sends a heartbeat of the runner to an agent's control address at each interval
// until ctx ends.
func (w *Worker) SendHeartbeats(ctx context.Context, controlAddress string, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		w.sendHeartbeat(ctx, controlAddress)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendHeartbeat sends one heartbeat. Errors are ignored, as the next heartbeat follows.
func (w *Worker) sendHeartbeat(ctx context.Context, controlAddress string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	incarnation, heartbeat := w.Heartbeat()
	body, err := json.Marshal(heartbeat)
	if err != nil {
		panic("standin: encode heartbeat: " + err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+controlAddress+"/-/Runners.Heartbeat/"+incarnation, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
