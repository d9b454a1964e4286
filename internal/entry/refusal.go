package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/zeebo/errs"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
)

var (
	errCallerLost     = errs.Class("caller")
	errDigestMismatch = errs.New("the body does not have the digest in its header")
)

// Problem is the body of a refusal, in the format of RFC 9457.
type Problem struct {
	Type     string                  `json:"type"`
	Title    string                  `json:"title"`
	Status   int                     `json:"status"`
	Detail   string                  `json:"detail"`
	Instance string                  `json:"instance"`
	ID       mustardramp.RefusalID   `json:"id"`
	Kind     mustardramp.RefusalKind `json:"kind"`
	Verdict  mustardramp.Verdict     `json:"verdict"`
	Rule     string                  `json:"rule"`
	Facts    []mustardramp.Fact      `json:"facts,omitempty"`
	// RetryAfterMillis is the time in milliseconds after which a retry is safe
	// and useful. It is absent if there is none.
	RetryAfterMillis int64 `json:"retry,omitempty"`
}

const problemTypePrefix = "urn:mustardramp:refusal:"

// refuse turns a denial into a refusal, stores and logs it, and sends it to the
// caller unless a response has started.
func (x *exchange) refuse(denial *mustardramp.Denial) {
	r := x.newRefusal(denial)
	x.refusalKind = r.Kind
	x.h.config.Refusals.Add(r)
	if x.responseStarted {
		logAbortedResponse(&r)
		return
	}
	klog.InfoS("request-refused", refusalLogFields(&r)...)
	x.writeRefusal(&r)
}

func (x *exchange) newRefusal(denial *mustardramp.Denial) mustardramp.Refusal {
	r := mustardramp.Refusal{
		ID:       x.h.config.Refusals.NewID(x.h.config.Host, x.h.config.Incarnation),
		Kind:     denial.Kind,
		Verdict:  x.verdict,
		Rule:     x.ruleFor(denial.Kind),
		Reason:   denial.Reason,
		Facts:    denial.Facts,
		At:       mustardramp.TimeOfDay(x.h.config.Clock.Now()),
		Host:     x.h.config.Host,
		Caller:   x.caller,
		Request:  x.r.Header.Get(requestIDHeader),
		Key:      x.key,
		Method:   x.r.Method,
		Path:     x.r.URL.Path,
		Attempts: len(x.tried),
	}
	if x.route != nil {
		r.Rank = x.rank
		r.Idempotent = x.route.Idempotent()
	}
	if len(x.tried) > 0 {
		r.Backend = x.tried[len(x.tried)-1]
	}
	if x.isSafeToRepeat() {
		r.RetryAfter = denial.RetryAfter
	}
	return r
}

// isSafeToRepeat reports whether the caller may send the request again without
// running it twice.
func (x *exchange) isSafeToRepeat() bool {
	if x.verdict.Operation == mustardramp.NotRun {
		return true
	}
	return x.route != nil && (x.route.Idempotent() || x.key != "")
}

// ruleFor returns the line of the contract that causes a refusal of a kind.
func (x *exchange) ruleFor(kind mustardramp.RefusalKind) mustardramp.Rule {
	if x.route != nil && x.route.IsTableRoute() {
		return x.contractSet.Rule(x.route)
	}
	if x.contract == nil {
		return mustardramp.Rule{}
	}
	if x.route == nil {
		return x.contract.Rule(x.contract.Line("routes"))
	}
	switch kind {
	case mustardramp.KindQueueFull, mustardramp.KindCallerShare, mustardramp.KindPressure:
		if line := x.contract.Ranks[x.rank].Line; line > 0 {
			return x.contract.Rule(line)
		}
	case mustardramp.KindShed:
		return x.contract.Rule(x.contract.Line("shed"))
	case mustardramp.KindKeyExpired, mustardramp.KindAnswerNotStored:
		return x.contract.Rule(x.contract.Line("keep"))
	}
	return x.contract.Rule(x.route.Line)
}

func (x *exchange) writeRefusal(r *mustardramp.Refusal) {
	problem := Problem{
		Type:             problemTypePrefix + r.Kind.String(),
		Title:            r.Kind.String(),
		Status:           x.refusalStatus(r),
		Detail:           r.Reason,
		Instance:         problemTypePrefix + string(r.ID),
		ID:               r.ID,
		Kind:             r.Kind,
		Verdict:          r.Verdict,
		Rule:             r.Rule.String(),
		Facts:            r.Facts,
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
	}
	body, err := json.Marshal(problem)
	if err != nil {
		klog.ErrorS(err, "refusal-encoding-failed", "id", r.ID)
	}
	x.setRefusalHeader(r, len(body))
	x.writeStatus(x.refusalStatus(r))
	if x.r.Method != http.MethodHead {
		_, _ = x.write(body)
	}
}

// refusalStatus returns the HTTP status of a refusal. With a routing table it
// is 503 if nothing ran, so that the caller may retry, and 502 or 504 if that
// is not known. With a contract it is the status of the kind, unless that promises
// that a request did not run that may have run and must not be repeated.
func (x *exchange) refusalStatus(r *mustardramp.Refusal) int {
	status := r.Kind.Status()
	if x.route == nil {
		return status
	}
	if !x.route.IsTableRoute() {
		if promisesNotRun(status) && r.Verdict.Sending != mustardramp.NotRun && !x.route.Idempotent() {
			return http.StatusBadGateway
		}
		return status
	}
	notRun := r.Verdict.Operation == mustardramp.NotRun
	switch status {
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		if notRun {
			return http.StatusServiceUnavailable
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized, http.StatusMisdirectedRequest, http.StatusConflict:
		if !notRun {
			return http.StatusBadGateway
		}
	}
	return status
}

func (x *exchange) setRefusalHeader(r *mustardramp.Refusal, length int) {
	header := x.w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Content-Length", strconv.Itoa(length))
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderRefusal, string(r.ID))
	header.Set(HeaderVerdict, formatVerdict(r.Verdict))
	header.Set(HeaderRule, r.Rule.String())
	header.Set(HeaderReason, r.Kind.String())
	if r.RetryAfter > 0 {
		header.Set("Retry-After", x.h.config.Headers.formatRetryAfter(r.RetryAfter))
	}
	if r.Kind == mustardramp.KindUnauthorized {
		header.Set("Www-Authenticate", x.h.config.Headers.KeyScheme)
	}
	if r.Kind == mustardramp.KindStopping {
		header.Set("Connection", "close")
	}
}

// formatVerdict formats a verdict as a dictionary of RFC 9651.
func formatVerdict(v mustardramp.Verdict) string {
	return "operation=" + v.Operation.String() + ", sending=" + v.Sending.String()
}

func refusalLogFields(r *mustardramp.Refusal) []any {
	fields := []any{
		"id", r.ID,
		"kind", r.Kind.String(),
		"operation", r.Verdict.Operation.String(),
		"sending", r.Verdict.Sending.String(),
		"rule", r.Rule.String(),
		"rank", r.Rank.String(),
		"caller", r.Caller,
		"request", r.Request,
		"method", r.Method,
		"path", r.Path,
		"backend", r.Backend,
		"attempts", r.Attempts,
		"reason", r.Reason,
	}
	for _, f := range r.Facts {
		fields = append(fields, f.Name, f.Value)
	}
	return fields
}
