package gateway

import (
	"bufio"
	"bytes"
	"net/http"
)

// requestScanner finds the requests in the bytes that a client forwards one connection,
// as they come in. It reads along with the HTTP server, which looks at a request only
// after it has answered the one before.
type requestScanner struct {
	head     []byte // of a request, as far as it has come in
	bodyLeft int64  // bytes of the last request's body that are still to come
	// opaque: where the next request begins is not known any more.
	opaque bool
}

// maxScannedHeadBytes bounds the head of a request that is looked at, in bytes.
const maxScannedHeadBytes = 8 << 10

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// scan takes what has come in and returns the requests whose heads are whole by now.
// Their bodies are not part of them.
func (s *requestScanner) scan(data []byte) []*http.Request {
	var requests []*http.Request
	for len(data) > 0 && !s.opaque {
		if s.bodyLeft > 0 {
			skipped := min(s.bodyLeft, int64(len(data)))
			s.bodyLeft -= skipped
			data = data[skipped:]
			continue
		}
		var request *http.Request
		if request, data = s.takeHead(data); request != nil {
			requests = append(requests, request)
		}
	}
	if s.opaque {
		s.head = nil
	}
	return requests
}

// takeHead takes bytes up to the end of a head, and returns the request if it is whole,
// and the bytes after it.
func (s *requestScanner) takeHead(data []byte) (*http.Request, []byte) {
	// The end may have come in part already.
	from := max(len(s.head)-len(headEnd)+1, 0)
	before := len(s.head)
	s.head = append(s.head, data[:min(len(data), maxScannedHeadBytes)]...)
	end := bytes.Index(s.head[from:], headEnd)
	if end < 0 {
		s.opaque = len(s.head) >= maxScannedHeadBytes
		return nil, data[len(s.head)-before:]
	}
	end += from + len(headEnd)
	if end > maxScannedHeadBytes {
		s.opaque = true
		return nil, nil
	}
	request, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(s.head[:end]), scannerBufferBytes))
	rest := data[end-before:]
	s.head = s.head[:0]
	if err != nil || request.ContentLength < 0 {
		// Of a body in chunks the length isn't known.
		s.opaque = true
		return nil, rest
	}
	s.bodyLeft = request.ContentLength
	return request, rest
}

// scannerBufferBytes is the size of the buffer through which a head is parsed, in bytes.
const scannerBufferBytes = 256
