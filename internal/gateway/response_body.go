package gateway

import (
	"errors"
	"io"
	"net/http"
)

// streamChunkBytes is the maximum number of bytes of a response of unknown length that are
// forwarded at once.
const streamChunkBytes = 16 << 10

// copyResponseBody forwards the body of the response. A body of unknown length is flushed
// after each chunk, since the next one may take long to arrive and the writer would buffer the
// end of this one until then.
func (e *exchange) copyResponseBody() error {
	if e.response.ContentLength >= 0 {
		_, err := io.Copy(e.writer, e.response.Body)
		return err
	}
	flusher := http.NewResponseController(e.writer)
	chunk := make([]byte, streamChunkBytes)
	for {
		n, readErr := e.response.Body.Read(chunk)
		if n > 0 {
			if _, err := e.writer.Write(chunk[:n]); err != nil {
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
