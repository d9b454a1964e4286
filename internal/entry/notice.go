package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
)

// maxQuiet is the longest time for which a backend can ask for no requests, so that
// a wrong value does not take it out of service for good.
const maxQuiet = 5 * time.Minute

// noteAnswer reports what the response states about its backend to the slot. A
// response that may belong to another request states nothing.
func (a *attempt) noteAnswer(response *http.Response) {
	n := a.notice(response)
	if n == (mustardramp.Notice{}) {
		return
	}
	klog.InfoS("backend-noted", "request", a.x.r.Header.Get(requestIDHeader), "service", a.x.contract.Service,
		"backend", a.backend.Address, "incarnation", a.backend.Incarnation, "status", response.StatusCode,
		"leaving", n.Leaving, "quiet", n.Quiet.Milliseconds())
	a.slot.Note(n)
	if n.Leaving && a.x.h.config.Leaving != nil {
		a.x.h.config.Leaving(a.backend)
	}
}

// notice returns what the response states about its backend.
func (a *attempt) notice(response *http.Response) mustardramp.Notice {
	if !hasFinalStatus(response) || !a.answersRequest(response) {
		return mustardramp.Notice{}
	}
	if a.isWrongInstance(response) {
		// The headers are those of the instance that has the address now.
		return mustardramp.Notice{Leaving: true}
	}
	result, _ := a.shedResult(response)
	n := mustardramp.Notice{Leaving: result == mustardramp.ResultLeaving}
	if name := a.x.leavingHeader(); name != "" {
		n.Leaving = n.Leaving || isTrue(response.Header.Get(name))
	}
	if name := a.x.quietHeader(); name != "" && response.StatusCode == http.StatusServiceUnavailable {
		n.Quiet, _ = parseDelay(response.Header.Get(name), response.Header.Get("Date"))
	}
	return n
}

// leavingHeader returns the name of the header that states that a backend is
// leaving, or "".
func (x *exchange) leavingHeader() string {
	if x.contract.Leaving != "" {
		return x.contract.Leaving
	}
	return x.h.config.Headers.Leaving
}

// quietHeader returns the name of the header of a 503 that states for how long the
// backend wants no requests, or "".
func (x *exchange) quietHeader() string {
	if x.contract.Quiet != "" {
		return x.contract.Quiet
	}
	return x.h.config.Headers.Quiet
}

// answersRequest reports whether the response belongs to the request of the
// attempt, as far as its headers tell.
func (a *attempt) answersRequest(response *http.Response) bool {
	headers := &a.x.h.config.Headers
	if headers.ResponseStamp != "" && response.StatusCode < http.StatusMultipleChoices && response.Header.Get(headers.ResponseStamp) == "" {
		return false
	}
	id, echoed := a.x.r.Header.Get(requestIDHeader), response.Header.Get(requestIDHeader)
	if headers.RequireRequestID && id != "" {
		return echoed == id || echoed == "" && !a.reused
	}
	return true
}

// isTrue reports whether the value of a header states that something holds.
func isTrue(value string) bool {
	value = strings.TrimSpace(value)
	return value == "1" || strings.EqualFold(value, "true")
}

// parseDelay returns the delay that the value of a Retry-After header states, at
// most maxQuiet. The value is a number of seconds, which may have a fraction, or a
// date, which is compared with the date of the response because clocks differ. The
// result is false if the value states no delay.
func parseDelay(value, date string) (time.Duration, bool) {
	value = strings.TrimSpace(value)
	if strings.Trim(value, "0123456789.") == "" {
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, false
		}
		return time.Duration(min(seconds, maxQuiet.Seconds()) * float64(time.Second)), true
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	now, err := http.ParseTime(date)
	if err != nil {
		return 0, false
	}
	return min(max(until.Sub(now), 0), maxQuiet), true
}
