package gateway

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

const (
	scannedGet     = "GET /read/a HTTP/1.1\r\nHost: h\r\nX-Tealpond-Attempt-Id: 1\r\n\r\n"
	scannedPost    = "POST /write/a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nGET /"
	scannedChunked = "POST /write/b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
)

// scannedTargets scans a text split into pieces and returns the requests found.
func scannedTargets(pieces ...string) (targets []string, outOfSync bool) {
	var scanner requestScanner
	for _, piece := range pieces {
		for _, request := range scanner.scan([]byte(piece)) {
			targets = append(targets, request.Method+" "+request.RequestURI)
		}
	}
	return targets, scanner.outOfSync
}

// TestRequestScanner checks that requests with and without bodies are found, and that scanning
// stops once the start of the next request is unknown.
func TestRequestScanner(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string
		opaque     bool
	}{
		{"empty input", "", nil, false},
		{"incomplete head", "GET / HTTP/1.1\r\nHost: h\r\n", nil, false},
		{"three requests", scannedGet + scannedGet + scannedGet, []string{"GET /read/a", "GET /read/a", "GET /read/a"}, false},
		{"body that looks like a request", scannedPost + scannedGet, []string{"POST /write/a", "GET /read/a"}, false},
		{"body not received yet", "POST /w HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n" + scannedGet, []string{"POST /w"}, false},
		{"chunked body", scannedGet + scannedChunked + scannedGet, []string{"GET /read/a"}, true},
		{"not a request", "hello\r\n\r\n" + scannedGet, nil, true},
		{"unterminated head", strings.Repeat("a", maxScannedHeadBytes+1), nil, true},
		{"head too large", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", maxScannedHeadBytes) + "\r\n\r\n", nil, true},
	} {
		if got, opaque := scannedTargets(c.text); !slices.Equal(got, c.want) || opaque != c.opaque {
			t.Errorf("%s: found %q, opaque %v; want %q, %v", c.name, got, opaque, c.want, c.opaque)
		}
	}
}

// TestRequestScannerInPieces checks that the same requests are found however the bytes are
// split.
func TestRequestScannerInPieces(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		text := ""
		for range 1 + random.IntN(6) {
			text += []string{scannedGet, scannedPost, scannedGet}[random.IntN(3)]
		}
		if random.IntN(4) == 0 {
			text += scannedChunked + scannedGet
		}
		want, wantOpaque := scannedTargets(text)
		var pieces []string
		for rest := text; rest != ""; {
			n := 1 + random.IntN(min(len(rest), 40))
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		if got, opaque := scannedTargets(pieces...); !slices.Equal(got, want) || opaque != wantOpaque {
			t.Errorf("in %d pieces: found %q, opaque %v; want %q, %v", len(pieces), got, opaque, want, wantOpaque)
		}
	}
}

// FuzzRequestScanner checks that the scanner does not fail on any input, and that input split
// in two gives the same requests.
func FuzzRequestScanner(f *testing.F) {
	for _, text := range []string{scannedGet + scannedPost, scannedChunked, "\r\n\r\n", "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"} {
		f.Add([]byte(text), uint16(len(text)/2))
	}
	f.Fuzz(func(t *testing.T, text []byte, cut uint16) {
		at := min(int(cut), len(text))
		want, wantOpaque := scannedTargets(string(text))
		got, opaque := scannedTargets(string(text[:at]), string(text[at:]))
		if !slices.Equal(got, want) || opaque != wantOpaque {
			t.Errorf("whole: %q %v; cut at %d: %q %v", want, wantOpaque, at, got, opaque)
		}
	})
}
