package pipeline

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
)

// BenchmarkRequest measures requests one after the other on one loopback connection,
// with net/http alone and behind a Listener, and requests sent four at a time.
func BenchmarkRequest(b *testing.B) {
	one := "GET /a HTTP/1.1\r\nHost: mohor.example\r\nX-Request-Id: 4711\r\nAccept: */*\r\nUser-Agent: bench\r\n\r\n"
	upload := "POST /a HTTP/1.1\r\nHost: mohor.example\r\nContent-Length: 16384\r\n\r\n" + strings.Repeat("x", 16384)
	for _, test := range []struct {
		name     string
		split    bool
		text     string
		requests int
	}{
		{"one/plain", false, one, 1},
		{"one/listener", true, one, 1},
		{"upload/plain", false, upload, 1},
		{"upload/listener", true, upload, 1},
		{"four/plain", false, strings.Repeat(one, 4), 4},
		{"four/listener", true, strings.Repeat(one, 4), 4},
	} {
		b.Run(test.name, func(b *testing.B) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "ok")
			})}
			listener := inner
			if test.split {
				l := NewListener(inner, Limits{})
				server.ConnState = l.ConnState
				listener = l
			}
			var group errgroup.Group
			group.Go(func() error { return server.Serve(listener) })
			defer func() {
				_ = server.Close()
				_ = group.Wait()
			}()
			conn, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(conn, test.text); err != nil {
					b.Fatal(err)
				}
				for range test.requests {
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, response.Body)
				}
			}
		})
	}
}
