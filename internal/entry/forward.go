package entry

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/mustardramp/mustardramp"
)

// Headers defined by Mustardramp. They are removed from what callers and
// backends send. A caller can set HeaderTimeout to shorten its deadline.
const (
	headerPrefix = "Mustardramp-"

	// HeaderRefusal holds the id of the refusal.
	HeaderRefusal = "Mustardramp-Refusal"
	// HeaderVerdict states whether the operation and this sending of it ran.
	HeaderVerdict = "Mustardramp-Verdict"
	// HeaderRule names the line of the contract that caused the refusal.
	HeaderRule = "Mustardramp-Rule"
	// HeaderReason holds the kind of the refusal.
	HeaderReason = "Mustardramp-Reason"
	// HeaderTimeout holds the time left until the first byte of the response
	// is due, in milliseconds.
	HeaderTimeout = "Mustardramp-Timeout"
	// HeaderRank tells the backend the rank of the request.
	HeaderRank = "Mustardramp-Rank"
	// HeaderAnswer is "recorded" on a response that comes from the ledger.
	HeaderAnswer = "Mustardramp-Answer"
)

const requestIDHeader = "X-Request-Id"

// forwardableHeader returns a copy of the headers that may be forwarded.
func forwardableHeader(header http.Header) http.Header {
	out := make(http.Header, len(header)+addedHeaderCount)
	copyForwardable(out, header)
	return out
}

// addedHeaderCount is the number of headers that the host adds to a request.
const addedHeaderCount = 6

// copyForwardable copies the headers that may be forwarded into target.
func copyForwardable(target, header http.Header) {
	options := header["Connection"]
	for name, values := range header {
		if strings.HasPrefix(name, headerPrefix) || isHopByHop(name) || isConnectionOption(options, name) {
			continue
		}
		target[name] = values
	}
}

// isHopByHop reports whether a header applies to one connection only.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	default:
		return false
	}
}

// isConnectionOption reports whether the Connection header lists a header, which
// then must not be forwarded.
func isConnectionOption(connection []string, name string) bool {
	for _, value := range connection {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(textproto.TrimString(token), name) {
				return true
			}
		}
	}
	return false
}

// Header values that requests share. They must not be modified.
var (
	protoHTTP  = []string{"http"}
	protoHTTPS = []string{"https"}
	// emptyValue keeps the transport from adding its default User-Agent.
	emptyValue = []string{""}
	rankValues = newRankValues()
)

func newRankValues() [mustardramp.RankCount][]string {
	var values [mustardramp.RankCount][]string
	for _, rank := range mustardramp.Ranks() {
		values[rank] = []string{rank.String()}
	}
	return values
}

// commonHeader returns the header that all attempts of the request have in
// common.
func (x *exchange) commonHeader() http.Header {
	header := forwardableHeader(x.r.Header)
	x.replaceWorkspaceHeaders(header)
	header["X-Forwarded-For"] = append(slices.Clip(x.r.Header["X-Forwarded-For"]), remoteAddress(x.r))
	header["X-Forwarded-Proto"] = protoHTTP
	if x.r.TLS != nil {
		header["X-Forwarded-Proto"] = protoHTTPS
	}
	header[x.h.config.Headers.Timeout] = []string{x.remainingMillis()}
	if !x.route.IsTableRoute() {
		header[HeaderRank] = rankValues[x.rank]
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = emptyValue
	}
	return header
}
