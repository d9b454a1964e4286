package entry

import (
	"net/http"
	"strconv"
	"time"
)

// Headers names the headers by which a host speaks with callers and backends,
// where a platform has its own. The zero value stands for the product's.
type Headers struct {
	// Timeout holds the milliseconds that are left, in requests of callers and
	// to backends; empty stands for HeaderTimeout.
	Timeout string
	// Instance tells a backend which instance a request is for; one that is
	// another answers 421 and runs nothing. Empty tells none.
	Instance string
	// NotRun marks an answer whose backend did not run the request, where the
	// contract names no header of its own.
	NotRun string
	// Stamp is what each good answer of a backend has; empty asks for none.
	Stamp string
	// Echo demands that answers repeat the request's id.
	Echo bool
	// Fractions writes Retry-After with parts of a second.
	Fractions bool
}

func (h Headers) orDefault() Headers {
	if h.Timeout == "" {
		h.Timeout = HeaderTimeout
	}
	return h
}

// retryAfter writes a span as the header Retry-After has it.
func (h *Headers) retryAfter(d time.Duration) string {
	if h.Fractions {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}

// foreign returns why an answer does not belong to the attempt's request, or
// "". A backend that answers late or twice leaves such answers on a connection.
func (a *attempt) foreign(response *http.Response) string {
	headers := &a.x.h.config.Headers
	id := a.x.r.Header.Get(requestIDHeader)
	if headers.Echo && id != "" && response.Header.Get(requestIDHeader) != id {
		return "the answer does not bear the request's id"
	}
	if headers.Stamp != "" && response.StatusCode < http.StatusMultipleChoices && response.Header.Get(headers.Stamp) == "" {
		return "the answer does not bear the backend's stamp"
	}
	return ""
}
