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
	errCallerLost  = errs.Class("caller")
	errFalseDigest = errs.New("the body does not have the digest in its header")
)

// Problem is the body of a refusal, as RFC 9457 describes it.
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
	// Retry is the time in milliseconds after which a retry is sensible and
	// safe, or absent.
	Retry int64 `json:"retry,omitempty"`
}

const problemType = "urn:mustardramp:refusal:"

// refuse completes a denial, remembers it, logs it and answers the caller
// unless an answer has begun.
func (x *exchange) refuse(denial *mustardramp.Denial) {
	r := x.refusal(denial)
	x.kind = r.Kind
	x.h.config.Refusals.Add(r)
	if x.begun {
		logCut(&r)
		return
	}
	klog.InfoS("request-refused", refusalFields(&r)...)
	x.answerRefusal(&r)
}

func (x *exchange) refusal(denial *mustardramp.Denial) mustardramp.Refusal {
	r := mustardramp.Refusal{
		ID:       x.h.config.Refusals.NewID(x.h.config.Host, x.h.config.Incarnation),
		Kind:     denial.Kind,
		Verdict:  x.verdict,
		Rule:     x.rule(denial.Kind),
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
		r.Rank = x.route.Rank
		r.Idempotent = x.route.Idempotent()
	}
	if len(x.tried) > 0 {
		r.Backend = x.tried[len(x.tried)-1]
	}
	if x.safeToRepeat() {
		r.RetryAfter = denial.RetryAfter
	}
	return r
}

// safeToRepeat reports whether the caller may send the request again without
// running it twice.
func (x *exchange) safeToRepeat() bool {
	if x.verdict.Operation == mustardramp.NotRun {
		return true
	}
	return x.route != nil && (x.route.Idempotent() || x.key != "")
}

// rule returns the line of the contract that a refusal follows from.
func (x *exchange) rule(kind mustardramp.RefusalKind) mustardramp.Rule {
	if x.route != nil && x.route.Tabled() {
		return x.set.Rule(x.route)
	}
	if x.contract == nil {
		return mustardramp.Rule{}
	}
	if x.route == nil {
		return x.contract.Rule(x.contract.Line("routes"))
	}
	switch kind {
	case mustardramp.KindQueueFull, mustardramp.KindCallerShare, mustardramp.KindPressure:
		if line := x.contract.Ranks[x.route.Rank].Line; line > 0 {
			return x.contract.Rule(line)
		}
	case mustardramp.KindShed:
		return x.contract.Rule(x.contract.Line("shed"))
	case mustardramp.KindKeyExpired, mustardramp.KindAnswerGone:
		return x.contract.Rule(x.contract.Line("keep"))
	}
	return x.contract.Rule(x.route.Line)
}

func (x *exchange) answerRefusal(r *mustardramp.Refusal) {
	problem := Problem{
		Type:     problemType + r.Kind.String(),
		Title:    r.Kind.String(),
		Status:   x.status(r),
		Detail:   r.Reason,
		Instance: problemType + string(r.ID),
		ID:       r.ID,
		Kind:     r.Kind,
		Verdict:  r.Verdict,
		Rule:     r.Rule.String(),
		Facts:    r.Facts,
		Retry:    r.RetryAfter.Milliseconds(),
	}
	body, err := json.Marshal(problem)
	if err != nil {
		klog.ErrorS(err, "problem-unencoded", "id", r.ID)
	}
	x.refusalHeader(r, len(body))
	x.begin(x.status(r))
	if x.r.Method != http.MethodHead {
		_, _ = x.write(body)
	}
}

// status returns the status of a refusal in a routing table's terms: 503 where
// nothing ran, so that the caller may come back, and 502 or 504 where that is
// not known. Contracts keep the status of the kind.
func (x *exchange) status(r *mustardramp.Refusal) int {
	status := r.Kind.Status()
	if x.route == nil || !x.route.Tabled() {
		return status
	}
	notRun := r.Verdict.Operation == mustardramp.NotRun
	switch status {
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		if notRun {
			return http.StatusServiceUnavailable
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusConflict:
		if !notRun {
			return http.StatusBadGateway
		}
	}
	return status
}

func (x *exchange) refusalHeader(r *mustardramp.Refusal, length int) {
	header := x.w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Content-Length", strconv.Itoa(length))
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderRefusal, string(r.ID))
	header.Set(HeaderVerdict, verdictText(r.Verdict))
	header.Set(HeaderRule, r.Rule.String())
	header.Set(HeaderReason, r.Kind.String())
	if r.RetryAfter > 0 {
		header.Set("Retry-After", x.h.config.Headers.retryAfter(r.RetryAfter))
	}
	if r.Kind == mustardramp.KindStopping {
		header.Set("Connection", "close")
	}
}

// verdictText writes a verdict as a dictionary of RFC 9651.
func verdictText(v mustardramp.Verdict) string {
	return "operation=" + v.Operation.String() + ", sending=" + v.Sending.String()
}

func refusalFields(r *mustardramp.Refusal) []any {
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
