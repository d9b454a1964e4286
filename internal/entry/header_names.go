package entry

import (
	"net/http"
	"strconv"
	"time"
)

// Headers configures the headers exchanged with callers and backends, for
// platforms that define their own. The zero value selects the headers of
// Mustardramp.
type Headers struct {
	// Timeout names the header with the remaining time in milliseconds, on
	// requests from callers and to backends. Empty means HeaderTimeout.
	Timeout string
	// Instance names the header that tells a backend which instance a request is
	// for. Any other instance responds with 421 and does not run the request.
	// Empty means that the header is not sent.
	Instance string
	// NotRun names the header of a response that tells that the backend did not
	// run the request, for contracts that name no header for it.
	NotRun string
	// Leaving names the header of a response that tells that the backend is
	// leaving, for contracts that name no header for it.
	Leaving string
	// Quiet names the header of a 503 that tells for how long the backend wants
	// no requests of this host, for contracts that name no header for it.
	Quiet string
	// ResponseStamp names a header that each successful response of a backend must
	// have. Empty means that none is required.
	ResponseStamp string
	// Workspace names the header that tells a backend the workspace of a request.
	// Empty means X-Workspace.
	Workspace string
	// KeyScheme is the scheme with which callers state the key of their workspace in
	// the Authorization header. Empty means Bearer.
	KeyScheme string
	// RequireRequestID requires responses to repeat the id of the request.
	RequireRequestID bool
	// FractionalRetryAfter makes Retry-After include fractions of a second.
	FractionalRetryAfter bool
}

func (h Headers) withDefaults() Headers {
	if h.Timeout == "" {
		h.Timeout = HeaderTimeout
	}
	if h.Workspace == "" {
		h.Workspace = "X-Workspace"
	}
	if h.KeyScheme == "" {
		h.KeyScheme = "Bearer"
	}
	return h
}

// formatRetryAfter returns the value of the Retry-After header for a duration.
func (h *Headers) formatRetryAfter(d time.Duration) string {
	if h.FractionalRetryAfter {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}

// mismatchReason returns why a response is no answer to the attempt's request, or "".
// A backend that responds late or twice leaves such responses on a connection.
func (a *attempt) mismatchReason(response *http.Response) string {
	headers := &a.x.h.config.Headers
	id := a.x.r.Header.Get(requestIDHeader)
	if !hasFinalStatus(response) {
		return "the answer has no valid status"
	}
	if headers.RequireRequestID && id != "" && response.Header.Get(requestIDHeader) != id {
		return "the answer does not bear the request's id"
	}
	if headers.ResponseStamp != "" && response.StatusCode < http.StatusMultipleChoices && response.Header.Get(headers.ResponseStamp) == "" {
		return "the answer does not bear the backend's stamp"
	}
	return ""
}
