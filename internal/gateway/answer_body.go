package gateway

import (
	"errors"
	"io"
	"net/http"
)

// streamedPartBytes is how much of an answer of unknown length is passed on at once.
const streamedPartBytes = 16 << 10

// copyBody passes on the body of the answer. One of unknown length goes on as it comes in:
// its next part may be long in coming, and the writer would hold back the last bytes of
// this one until then.
func (e *exchange) copyBody() error {
	if e.response.ContentLength >= 0 {
		_, err := io.Copy(e.writer, e.response.Body)
		return err
	}
	flusher := http.NewResponseController(e.writer)
	part := make([]byte, streamedPartBytes)
	for {
		n, readErr := e.response.Body.Read(part)
		if n > 0 {
			if _, err := e.writer.Write(part[:n]); err != nil {
				return err
			}
			if err := flusher.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}
