package entry

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// The fleet's own headers. They are removed from what callers and backends
// send, but for HeaderTimeout, by which a caller shortens its deadline.
const (
	headerPrefix = "Mustardramp-"

	// HeaderRefusal holds the refusal's id.
	HeaderRefusal = "Mustardramp-Refusal"
	// HeaderVerdict says whether the operation and this sending of it ran.
	HeaderVerdict = "Mustardramp-Verdict"
	// HeaderRule names the line of the contract that led to the refusal.
	HeaderRule = "Mustardramp-Rule"
	// HeaderReason holds the kind of the refusal.
	HeaderReason = "Mustardramp-Reason"
	// HeaderTimeout holds the time that is left for the first byte of the
	// answer, in milliseconds.
	HeaderTimeout = "Mustardramp-Timeout"
	// HeaderRank tells the backend the rank of the work.
	HeaderRank = "Mustardramp-Rank"
	// HeaderAnswer is "recorded" on an answer from the ledger.
	HeaderAnswer = "Mustardramp-Answer"
)

const requestIDHeader = "X-Request-Id"

// hopByHop lists the headers that belong to one connection.
var hopByHop = [...]string{
	"Connection",
	"Proxy-Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// forwardable copies the headers that pass from one side to the other.
func forwardable(header http.Header) http.Header {
	out := make(http.Header, len(header)+4)
	for name, values := range header {
		if !strings.HasPrefix(name, headerPrefix) {
			out[name] = values
		}
	}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// outgoing returns the headers of an attempt.
func (x *exchange) outgoing() http.Header {
	header := forwardable(x.r.Header)
	header["X-Forwarded-For"] = append(slices.Clip(x.r.Header["X-Forwarded-For"]), addressOf(x.r))
	if x.r.TLS != nil {
		header["X-Forwarded-Proto"] = []string{"https"}
	} else {
		header["X-Forwarded-Proto"] = []string{"http"}
	}
	header[HeaderTimeout] = []string{x.remaining()}
	header[HeaderRank] = []string{x.route.Rank.String()}
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps the transport from adding its own.
		header["User-Agent"] = []string{""}
	}
	return header
}
