package mustardramp

import "time"

// HostName names one entry or control host; it is unique in the fleet.
type HostName string

// ServiceName names a service that a contract describes.
type ServiceName string

// BackendID names one backend server: "service/address:port".
type BackendID string

// CallerName names a caller: the subject of its client certificate, the value
// of the caller header, or its address.
type CallerName string

// OperationKey is a caller's own key for one non-idempotent operation.
type OperationKey string

// RefusalID names one refusal. It starts with the name of the host that
// refused, so that the host can be asked about it.
type RefusalID string

// ChangeID names one change of the configuration. A resent change carries the
// same id and gets the first result again.
type ChangeID string

// Revision counts the accepted versions of one service's contract, from 1.
type Revision uint64

// Index is a position in a replicated log, from 1.
type Index uint64

// Incarnation counts the starts of one process. A higher one is newer.
type Incarnation uint64

// Sequence orders the statements of one incarnation. A higher one is newer.
type Sequence uint64

// Slots counts requests that a backend serves at the same time.
type Slots int

// Bytes counts bytes.
type Bytes int64

// Percent is a share of 100.
type Percent float64

// Of returns the share of n that the percentage stands for.
func (p Percent) Of(n float64) float64 {
	return n * float64(p) / 100
}

// Clock tells the time for decisions: it never jumps. TimeOfDay turns what it tells
// into the time to show. Tests inject their own.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
}

// SystemClock is the steady clock of the machine, which began with the time of day
// at the start of the process. Its zero value works.
type SystemClock struct{}

var processStart = time.Now()

// Now returns the time of day at the start and the time since: when the machine's
// time of day jumps, what was to end in a second still ends in a second.
func (SystemClock) Now() time.Time {
	return processStart.Add(time.Since(processStart))
}

// TimeOfDay returns the machine's time of day at a time that a Clock told in this
// process.
func TimeOfDay(t time.Time) time.Time {
	now := time.Now()
	return now.Add(-now.Sub(t)).Round(0)
}
