package mustardramp

import "time"

// Result is how one attempt at a backend ended.
type Result uint8

// The results of an attempt.
const (
	// ResultGood is a whole answer below status 500.
	ResultGood Result = iota
	// ResultError is an answer with a status of 500 or above.
	ResultError
	// ResultTimeout is no answer before the deadline.
	ResultTimeout
	// ResultCut is an answer or a connection that broke off.
	ResultCut
	// ResultFalse is an answer that fails its own digest.
	ResultFalse
	// ResultDial is a failed dial.
	ResultDial
	// ResultShed is the backend's own declaration that it shed the request.
	ResultShed
	// ResultLeaving is the backend's own declaration that it is leaving.
	ResultLeaving
	// ResultAbandoned is an attempt that its caller gave up: no evidence.
	ResultAbandoned
	// ResultCount is the number of results.
	ResultCount
)

var resultNames = [ResultCount]string{
	"good", "error", "timeout", "cut", "false", "dial", "shed", "leaving", "abandoned",
}

// String returns the result's name.
func (r Result) String() string {
	if r < ResultCount {
		return resultNames[r]
	}
	return "unknown"
}

// Failed reports whether the result counts as evidence of illness.
func (r Result) Failed() bool {
	switch r {
	case ResultError, ResultTimeout, ResultCut, ResultFalse, ResultDial:
		return true
	default:
		return false
	}
}

// Observation is the outcome of one attempt of real work.
type Observation struct {
	Backend BackendID
	Service ServiceName
	Caller  CallerName
	Rank    Rank
	Result  Result
	// Latency is the time from dispatch to the first byte of the answer, or
	// to the failure.
	Latency time.Duration
	At      time.Time
}
