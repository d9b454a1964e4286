package mustardramp

import "time"

// HostName is the name of an entry or control host. It is unique in the fleet.
type HostName string

// ServiceName is the name of a service, which a contract describes.
type ServiceName string

// BackendID identifies a backend server. Its form is "service/address:port".
type BackendID string

// CallerName identifies a caller by the subject of its client certificate, the
// value of the caller header, or its address.
type CallerName string

// OperationKey is the key by which a caller identifies one non-idempotent
// operation.
type OperationKey string

// RefusalID identifies a refusal. It starts with the name of the host that
// refused the request, so that any host can forward a question about it.
type RefusalID string

// ChangeID identifies a configuration change. Publishing is idempotent: a change
// that is sent again under the same id returns the first result.
type ChangeID string

// Revision is the number of an accepted version of a service's contract,
// starting at 1.
type Revision uint64

// Index is a position in a replicated log, starting at 1.
type Index uint64

// Incarnation identifies one run of a process. A restart has a higher one.
type Incarnation uint64

// Sequence orders the announcements of one incarnation. The higher one is newer.
type Sequence uint64

// Slots is a number of requests that a backend serves concurrently.
type Slots int

// Bytes is a size in bytes, or a rate in bytes per second.
type Bytes int64

// Percent is a share in percent, usually from 0 to 100.
type Percent float64

// Of returns p percent of n.
func (p Percent) Of(n float64) float64 {
	return n * float64(p) / 100
}

// Clock supplies the time for decisions. Its readings do not follow jumps of the
// machine's time of day; TimeOfDay converts a reading for display. Tests inject
// their own implementation.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// SystemClock is the Clock of the machine. It starts at the time of day at which
// the process started and advances monotonically. The zero value is ready to use.
type SystemClock struct{}

var processStart = time.Now()

// Now returns the time of day at the start of the process plus the monotonic time
// since then, so that deadlines keep their length when the machine's time of day
// jumps.
func (SystemClock) Now() time.Time {
	return processStart.Add(time.Since(processStart))
}

// TimeOfDay converts a reading of a Clock in this process to the machine's time of
// day. It returns a time without a monotonic reading.
func TimeOfDay(t time.Time) time.Time {
	now := time.Now()
	return now.Add(-now.Sub(t)).Round(0)
}
