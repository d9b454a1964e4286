package entry

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/mustardramp/mustardramp"
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

// forwardable copies the headers that pass from one side to the other.
func forwardable(header http.Header) http.Header {
	out := make(http.Header, len(header)+addedHeaders)
	pass(out, header)
	return out
}

// addedHeaders is the number of headers that the host adds to a request.
const addedHeaders = 5

// pass copies into target the headers that pass from one side to the other.
func pass(target, header http.Header) {
	named := header["Connection"]
	for name, values := range header {
		if strings.HasPrefix(name, headerPrefix) || isHopByHop(name) || isNamed(named, name) {
			continue
		}
		target[name] = values
	}
}

// isHopByHop reports whether a header belongs to one connection.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	default:
		return false
	}
}

// isNamed reports whether the Connection header names a header.
func isNamed(connection []string, name string) bool {
	for _, value := range connection {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(textproto.TrimString(token), name) {
				return true
			}
		}
	}
	return false
}

// The values of headers that are the same for many requests; they are never
// changed.
var (
	plainProto  = []string{"http"}
	secureProto = []string{"https"}
	// noValue keeps the transport from adding a header of its own.
	noValue   = []string{""}
	rankNames = namesOfRanks()
)

func namesOfRanks() [mustardramp.RankCount][]string {
	var names [mustardramp.RankCount][]string
	for _, rank := range mustardramp.Ranks() {
		names[rank] = []string{rank.String()}
	}
	return names
}

// outgoing returns the headers of an attempt.
func (x *exchange) outgoing() http.Header {
	header := forwardable(x.r.Header)
	header["X-Forwarded-For"] = append(slices.Clip(x.r.Header["X-Forwarded-For"]), addressOf(x.r))
	header["X-Forwarded-Proto"] = plainProto
	if x.r.TLS != nil {
		header["X-Forwarded-Proto"] = secureProto
	}
	header[x.h.config.Headers.Timeout] = []string{x.remaining()}
	if !x.route.Tabled() {
		header[HeaderRank] = rankNames[x.route.Rank]
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = noValue
	}
	return header
}
