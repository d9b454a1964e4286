package entry

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/mustardramp/mustardramp"
)

// Limits on what a caller may send before its body.
const (
	// MaxHeaderBytes limits the request line and the headers.
	MaxHeaderBytes = 64 << 10
	// MaxHeaderFields limits the number of header lines.
	MaxHeaderFields = 128
	// MaxPathBytes limits the length of the path.
	MaxPathBytes = 8 << 10
)

// overrideHeaders lists headers that make some backends serve another method or
// path than the one in the request line, and so another route than the matched
// one.
var overrideHeaders = [...]string{
	"X-Http-Method-Override",
	"X-Http-Method",
	"X-Method-Override",
	"X-Original-Url",
	"X-Rewrite-Url",
	"X-Original-Method",
}

// checkUnambiguous refuses requests that a backend could interpret differently
// than this host.
func checkUnambiguous(r *http.Request) *mustardramp.Denial {
	if reason := checkPath(r); reason != "" {
		return &mustardramp.Denial{Kind: mustardramp.KindMalformed, Reason: reason}
	}
	return checkHeader(r.Header)
}

func checkHeader(header http.Header) *mustardramp.Denial {
	fields := 0
	for name, values := range header {
		fields += len(values)
		if strings.Contains(name, "_") {
			return malformedDenial("a header name with an underscore can stand for another header at a backend")
		}
	}
	if fields > MaxHeaderFields {
		return &mustardramp.Denial{
			Kind:   mustardramp.KindTooLarge,
			Reason: "the request has more header lines than allowed",
			Facts: []mustardramp.Fact{
				{Name: "lines", Value: strconv.Itoa(fields)},
				{Name: "limit", Value: strconv.Itoa(MaxHeaderFields)},
			},
		}
	}
	for _, name := range overrideHeaders {
		if _, ok := header[name]; ok {
			return malformedDenial("the header " + name + " would let a backend serve another route")
		}
	}
	return checkConnection(header)
}

// checkConnection refuses a Connection header that names a header which must
// reach the backend or which this host relies on.
func checkConnection(header http.Header) *mustardramp.Denial {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			switch textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)) {
			case "Content-Length", "Host", "Content-Digest", "Authorization", "Cookie":
				return malformedDenial("the Connection header names " + strings.TrimSpace(name))
			}
		}
	}
	return nil
}

func malformedDenial(reason string) *mustardramp.Denial {
	return &mustardramp.Denial{Kind: mustardramp.KindMalformed, Reason: reason}
}

// checkPath returns why a backend could take the path for another resource than
// this host does, or "".
func checkPath(r *http.Request) string {
	path := r.URL.Path
	switch {
	case r.URL.Opaque != "" || !strings.HasPrefix(path, "/"):
		return "the request target is not a path"
	case len(path) > MaxPathBytes:
		return "the path is longer than " + strconv.Itoa(MaxPathBytes) + " bytes"
	case strings.Contains(path, "//"):
		return "the path has an empty segment"
	case hasDotSegment(path):
		return "the path has a dot segment"
	}
	for i := range len(path) {
		c := path[i]
		switch {
		case c < ' ' || c == 0x7f:
			return "the path has a control character"
		case c == '\\':
			return "the path has a backslash"
		case c == ';':
			return "the path has a parameter after a semicolon"
		}
	}
	if r.URL.RawPath != "" && hasEscapedSlash(r.URL.RawPath) {
		return "the path has an escaped slash"
	}
	return ""
}

func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func hasEscapedSlash(raw string) bool {
	for i := 0; i+2 < len(raw); i++ {
		if raw[i] == '%' && raw[i+1] == '2' && (raw[i+2] == 'f' || raw[i+2] == 'F') {
			return true
		}
	}
	return false
}
