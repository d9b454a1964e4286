package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

const benchAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 256\r\n\r\n"

// benchBackend starts a backend that responds to each request with 256 bytes and
// allocates little.
func benchBackend(b *testing.B) string {
	answer := []byte(benchAnswer + strings.Repeat("x", 256))
	return startRawBackend(b, func(conn net.Conn, reader *bufio.Reader) {
		for {
			length := 0
			for {
				line, err := reader.ReadSlice('\n')
				if err != nil {
					return
				}
				if len(line) == 2 {
					break
				}
				if strings.HasPrefix(string(line), "Content-Length: ") {
					length = int(line[16] - '0')
				}
			}
			if _, err := reader.Discard(length); err != nil {
				return
			}
			if _, err := conn.Write(answer); err != nil {
				return
			}
		}
	})
}

// minimalProxy returns a minimal proxy on net/http, which is the baseline.
func minimalProxy(b *testing.B, address string) http.HandlerFunc {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}
	b.Cleanup(transport.CloseIdleConnections)
	return func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.RequestURI = ""
		out.URL.Scheme = "http"
		out.URL.Host = address
		response, err := transport.RoundTrip(out)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}
}

// runRequests sends requests over one connection, one after the other.
func runRequests(b *testing.B, address, request string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	message := []byte(request)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(message); err != nil {
			b.Fatal(err)
		}
		for {
			line, err := reader.ReadSlice('\n')
			if err != nil {
				b.Fatal(err)
			}
			if len(line) == 2 {
				break
			}
		}
		if _, err := reader.Discard(256); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRequest compares the handler with a direct request to the backend and
// with a minimal proxy on net/http.
func BenchmarkRequest(b *testing.B) {
	const get = "GET /files/a HTTP/1.1\r\nHost: mohor.example\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n"
	const once = "POST /stamps HTTP/1.1\r\nHost: mohor.example\r\nUser-Agent: bench\r\nContent-Length: 1\r\n\r\nx"
	address := benchBackend(b)
	f := newFixture(b, address)
	forward := startBackend(b, minimalProxy(b, address))
	b.Run("direct", func(b *testing.B) { runRequests(b, address, get) })
	b.Run("forward", func(b *testing.B) { runRequests(b, forward, get) })
	b.Run("entry", func(b *testing.B) { runRequests(b, f.server.Listener.Addr().String(), get) })
	b.Run("entry-once", func(b *testing.B) { runRequests(b, f.server.Listener.Addr().String(), once) })
}
