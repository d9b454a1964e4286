package pipeline

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	// Fixes the seed of the property tests.
	_ "github.com/mustardramp/mustardramp/internal/rapidseed"
)

// TestUnusualHeadsAreOpaque guards against request smuggling: where another parser could
// see another end of a request, none may be split off.
func TestUnusualHeadsAreOpaque(t *testing.T) {
	const line = "GET / HTTP/1.1\r\nHost: a\r\n"
	tests := map[string]struct {
		text string
		want head
	}{
		"plain":                   {line, head{kind: plainHead}},
		"HEAD":                    {"HEAD /a?b HTTP/1.1\r\nHost: a\r\nConnection: Keep-Alive\r\n", head{kind: plainHead}},
		"no length":               {line + "Content-Length: 0\r\n", head{kind: plainHead}},
		"last":                    {line + "Connection: close\r\n", head{kind: plainHead, last: true}},
		"GET with body":           {line + "content-length: 12\r\n", head{kind: sizedHead, bodyLength: 12}},
		"POST":                    {"POST / HTTP/1.1\r\nContent-Length: 7\r\n", head{kind: sizedHead, bodyLength: 7}},
		"chunked":                 {line + "Transfer-Encoding: chunked\r\n", head{}},
		"space before colon":      {line + "Content-Length : 12\r\n", head{}},
		"two lengths":             {line + "Content-Length: 0\r\nContent-Length: 0\r\n", head{}},
		"list of lengths":         {line + "Content-Length: 0, 0\r\n", head{}},
		"signed length":           {line + "Content-Length: +0\r\n", head{}},
		"empty length":            {line + "Content-Length:\r\n", head{}},
		"long length":             {line + "Content-Length: 99999999999999999999\r\n", head{}},
		"folded line":             {line + "A: b\r\n Content-Length: 5\r\n", head{}},
		"LF in a line":            {line + "A: b\nContent-Length: 5\r\n", head{}},
		"CR in a line":            {line + "A: b\rContent-Length: 5\r\n", head{}},
		"LF LF ends the head":     {"GET / HTTP/1.1\nHost: a\n\nGET /2 HTTP/1.1\r\n", head{}},
		"NUL":                     {line + "A: b\x00\r\n", head{}},
		"no colon":                {line + "A\r\n", head{}},
		"no name":                 {line + ": a\r\n", head{}},
		"upgrade":                 {line + "Connection: upgrade\r\nUpgrade: h2c\r\n", head{}},
		"expectation":             {line + "Expect: 100-continue\r\n", head{}},
		"listed Connection":       {line + "Connection: close, a\r\n", head{}},
		"two Connection lines":    {line + "Connection: close\r\nConnection: keep-alive\r\n", head{}},
		"HTTP/1.0":                {"GET / HTTP/1.0\r\n", head{}},
		"HTTP/0.9":                {"GET /\r\n", head{}},
		"space in the target":     {"GET / b HTTP/1.1\r\n", head{}},
		"two spaces":              {"GET  / HTTP/1.1\r\n", head{}},
		"CONNECT":                 {"CONNECT a:1 HTTP/1.1\r\n", head{}},
		"empty line before":       {"\r\n" + line, head{}},
		"lower-case method":       {"get / HTTP/1.1\r\n", head{kind: sizedHead}},
		"encoding without length": {"POST / HTTP/1.1\r\ntransfer-encoding: identity\r\n", head{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := parseHead([]byte(test.text + "\r\n")); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// TestParsersAgree guards against a head that net/http reads with another end or body:
// it draws heads from fragments that parsers are known to read in different ways.
func TestParsersAgree(t *testing.T) {
	fragments := []string{
		"GET", "HEAD", "POST", " ", "/", "HTTP/1.1", "HTTP/1.0", "\r\n", "\r\n", "\n", "\r", "\t", "\x00", ":", ": ",
		"Host: a\r\n", "Content-Length: 3\r\n", "Content-Length: 0\r\n", "Content-Length", "Transfer-Encoding: chunked\r\n",
		"Transfer-Encoding", "chunked", "Connection: close\r\n", "A: b\r\n", "3", "0", "+", ",",
	}
	split := 0
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.SampledFrom([]string{"", "GET / HTTP/1.1\r\nHost: a\r\n", "POST / HTTP/1.1\r\nHost: a\r\n"}).Draw(t, "start")
		parts := rapid.SliceOfN(rapid.SampledFrom(fragments), 0, 8).Draw(t, "fragments")
		text := start + strings.Join(parts, "") + "\r\n\r\n"
		text = text[:strings.Index(text, "\r\n\r\n")+4]
		h := parseHead([]byte(text))
		if h.kind == opaqueHead {
			return
		}
		split++
		const rest = "abcdef"
		reader := bufio.NewReader(strings.NewReader(text + rest))
		r, err := http.ReadRequest(reader)
		if err != nil {
			// The server answers 400 and closes the connection.
			return
		}
		body, _ := io.ReadAll(r.Body)
		left, _ := io.ReadAll(reader)
		if int64(len(body)) != min(h.bodyLength, int64(len(rest))) || string(body)+string(left) != rest {
			t.Fatalf("%q: got a body of %d bytes, net/http %d", text, h.bodyLength, len(body))
		}
		if r.Close != h.last {
			t.Fatalf("%q: got last %t, net/http %t", text, h.last, r.Close)
		}
	})
	if split == 0 {
		t.Error("got no head that may be split off, want some")
	}
}
