package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestAnswerWithoutAValidStatus guards against an answer whose status is none: the caller
// gets it as an answer of the backend, or no answer at all.
func TestAnswerWithoutAValidStatus(t *testing.T) {
	for _, status := range []string{"000", "+20", "-00", "099", "101", "600", "999"} {
		for name, tc := range map[string]struct {
			newHost func(testing.TB, ...string) *fixture
			method  string
			path    string
		}{
			"contract":            {newFixture, http.MethodPost, "/stamps"},
			"contract, safe":      {newFixture, http.MethodGet, "/files/1"},
			"routing table":       {newTableFixture, http.MethodPost, "/acts/1"},
			"routing table, safe": {newTableFixture, http.MethodGet, "/reads/1"},
		} {
			for _, header := range []string{"", "X-Shed: leaving\r\nX-Not-Run: 1\r\n"} {
				for _, version := range []string{"1.0", "1.1"} {
					t.Run(fmt.Sprintf("%s, %s, %t, HTTP/%s", status, name, header != "", version), func(t *testing.T) {
						address := startRawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
							if _, err := readRequest(reader); err == nil {
								_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Text\r\nX-Request-Id: r1\r\nX-Stamp: s\r\n"+header+"Content-Length: 4\r\n\r\nbody")
							}
						})
						f := tc.newHost(t, address)
						got, isWhole := f.callRaw(t, version, tc.method, tc.path, false)
						if got != http.StatusBadGateway || !isWhole {
							t.Errorf("got status %d, whole: %t, want a whole 502", got, isWhole)
						}
					})
				}
			}
		}
	}
}
