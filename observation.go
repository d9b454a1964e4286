package mustardramp

import "time"

// Result classifies how an attempt at a backend ended.
type Result uint8

// The results of an attempt.
const (
	// ResultSuccess is a complete answer with a status below 500.
	ResultSuccess Result = iota
	// ResultError is an answer with a status of 500 or above.
	ResultError
	// ResultTimeout means that no answer arrived before the deadline.
	ResultTimeout
	// ResultTruncated is a truncated answer or a lost connection.
	ResultTruncated
	// ResultInvalid is an answer that is wrong or cannot be verified, for example
	// one that fails its own digest.
	ResultInvalid
	// ResultDial is a failed connection attempt.
	ResultDial
	// ResultShed is the backend's own declaration that it shed the request.
	ResultShed
	// ResultLeaving is the backend's own declaration that it is leaving.
	ResultLeaving
	// ResultAbandoned is an attempt that was given up before it ended. It says
	// nothing about the backend.
	ResultAbandoned
	// ResultCount is the number of results.
	ResultCount
)

var resultNames = [ResultCount]string{
	"good", "error", "timeout", "cut", "false", "dial", "shed", "leaving", "abandoned",
}

// String returns the name of the result, such as "timeout", or "unknown".
func (r Result) String() string {
	if r < ResultCount {
		return resultNames[r]
	}
	return "unknown"
}

// Failed reports whether the result counts against the backend. Shed requests
// and backends that leave do not.
func (r Result) Failed() bool {
	switch r {
	case ResultError, ResultTimeout, ResultTruncated, ResultInvalid, ResultDial:
		return true
	default:
		return false
	}
}

// Observation is the result of one attempt to serve a caller's request.
type Observation struct {
	Backend BackendID
	Service ServiceName
	Caller  CallerName
	Rank    Rank
	Result  Result
	// Latency is the time from dispatch to the first byte of the answer, or
	// to the failure.
	Latency time.Duration
	// At is when the result was observed.
	At time.Time
}
