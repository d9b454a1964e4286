package entry

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
)

// TestConnectionOptionsAreNotForwarded checks that headers listed in a backend's
// Connection header are not forwarded, even when net/http drops that header.
func TestConnectionOptionsAreNotForwarded(t *testing.T) {
	tests := map[string]struct {
		start, connection string
		want              string
	}{
		"close first":       {"", "Connection: close, X-Hop\r\n", ""},
		"close last":        {"", "Connection: x-hop ,close\r\n", ""},
		"two lines":         {"", "Connection: close\r\nconnection: X-Hop\r\n", ""},
		"folded":            {"", "Connection: close,\r\n X-Hop\r\n", ""},
		"without close":     {"", "Connection: X-Hop\r\n", ""},
		"after early hints": {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "Connection: close, X-Hop\r\n", ""},
		"not named":         {"", "Connection: close\r\n", "secret"},
	}
	for name, test := range tests {
		for _, path := range []string{"/files/a", "/stamps"} {
			t.Run(name+" "+path, func(t *testing.T) {
				address := startRawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
					_, _ = readRequest(reader)
					_, _ = io.WriteString(conn, test.start+"HTTP/1.1 200 OK\r\nX-Hop: secret\r\nX-End: kept\r\n"+
						test.connection+"Content-Length: 2\r\n\r\nok")
				})
				method := map[string]string{"/files/a": "GET", "/stamps": "POST"}[path]
				response := newFixture(t, address).send(t, method, path, "")
				if got := readBody(t, response); got != "ok" {
					t.Errorf("body: got %q, want %q", got, "ok")
				}
				if got := response.Header.Get("X-Hop"); got != test.want {
					t.Errorf("X-Hop: got %q, want %q", got, test.want)
				}
				if got, want := response.Header.Get("X-End"), "kept"; got != want {
					t.Errorf("X-End: got %q, want %q", got, want)
				}
			})
		}
	}
}

// TestHeaderCaptureInPieces checks that the end of a header is found regardless of
// how the bytes are split.
func TestHeaderCaptureInPieces(t *testing.T) {
	tests := map[string]struct{ raw, want string }{
		"crlf":          {"HTTP/1.1 200 OK\r\nConnection: close, a\r\n\r\nbody\r\n\r\n", "close, a"},
		"lf":            {"HTTP/1.1 200 OK\nConnection: close, a\n\nbody\n\n", "close, a"},
		"mixed":         {"HTTP/1.1 200 OK\r\nConnection: close, a\n\r\nbody", "close, a"},
		"informational": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close, a\r\n\r\n", "close, a"},
		"no header":     {"HTTP/1.1 200 OK\r\n\r\nConnection: a\r\n\r\n", ""},
	}
	for name, test := range tests {
		for pieces, reader := range map[string]io.Reader{
			"whole":  strings.NewReader(test.raw),
			"bytes":  iotest.OneByteReader(strings.NewReader(test.raw)),
			"halves": iotest.HalfReader(strings.NewReader(test.raw)),
		} {
			t.Run(name+" "+pieces, func(t *testing.T) {
				var h headerCapture
				buf := make([]byte, 64)
				for {
					n, err := reader.Read(buf)
					h.write(buf[:n])
					if err != nil {
						break
					}
				}
				if got := strings.Join(h.connectionHeader(), "; "); got != test.want || !h.complete {
					t.Errorf("Connection: got %q, complete %t, want %q, complete true", got, h.complete, test.want)
				}
			})
		}
	}
}
