package gateway

import (
	"bufio"
	"bytes"
	"net/http"
)

// requestScanner finds requests in the bytes received on a client connection, as they arrive.
// The HTTP server parses a request only after it has answered the previous one.
type requestScanner struct {
	head     []byte // received part of the current request head
	bodyLeft int64  // bytes of the last request's body that are still to come
	// outOfSync is set if the start of the next request is unknown.
	outOfSync bool
}

// maxScannedHeadBytes is the maximum size of a request head that is parsed, in bytes.
const maxScannedHeadBytes = 8 << 10

// headEnd terminates the head of a request.
var headEnd = []byte("\r\n\r\n")

// scan consumes received data and returns the requests whose heads are complete, without their
// bodies.
func (s *requestScanner) scan(data []byte) []*http.Request {
	var requests []*http.Request
	for len(data) > 0 && !s.outOfSync {
		if s.bodyLeft > 0 {
			skipped := min(s.bodyLeft, int64(len(data)))
			s.bodyLeft -= skipped
			data = data[skipped:]
			continue
		}
		var request *http.Request
		if request, data = s.readHead(data); request != nil {
			requests = append(requests, request)
		}
	}
	if s.outOfSync {
		s.head = nil
	}
	return requests
}

// readHead consumes data up to the end of a request head. It returns the request if its head
// is complete, and the remaining data.
func (s *requestScanner) readHead(data []byte) (*http.Request, []byte) {
	// Part of the terminator may have been received earlier.
	from := max(len(s.head)-len(headEnd)+1, 0)
	before := len(s.head)
	s.head = append(s.head, data[:min(len(data), maxScannedHeadBytes)]...)
	end := bytes.Index(s.head[from:], headEnd)
	if end < 0 {
		s.outOfSync = len(s.head) >= maxScannedHeadBytes
		return nil, data[len(s.head)-before:]
	}
	end += from + len(headEnd)
	if end > maxScannedHeadBytes {
		s.outOfSync = true
		return nil, nil
	}
	request, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(s.head[:end]), scannerBufferBytes))
	rest := data[end-before:]
	s.head = s.head[:0]
	if err != nil || request.ContentLength < 0 {
		// The length of a chunked body is unknown.
		s.outOfSync = true
		return nil, rest
	}
	s.bodyLeft = request.ContentLength
	return request, rest
}

// scannerBufferBytes is the size of the buffer used to parse a head, in bytes.
const scannerBufferBytes = 256
