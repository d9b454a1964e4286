package callerlimit

import (
	"sync/atomic"

	"github.com/mustardramp/mustardramp"
)

// Account counts the bytes that a host holds for its callers. All connections share
// it. Every reservation must be released by its holder. The zero value has no bound,
// and a nil Account accepts everything.
type Account struct {
	// Limit is the bound of the account, or 0 for none. It must not change.
	Limit mustardramp.Bytes

	used atomic.Int64
}

// Reserve reserves n more bytes for a holder that has total bytes with them, and
// reports whether there was room. It reserves nothing if there was none. Holders of
// more than smallHead are refused earlier than the others.
func (a *Account) Reserve(n, total mustardramp.Bytes) bool {
	if a == nil {
		return true
	}
	used := mustardramp.Bytes(a.used.Add(int64(n)))
	if used <= a.ceiling(total) {
		return true
	}
	a.used.Add(-int64(n))
	return false
}

// ceiling returns the use of the account up to which a holder of total bytes may
// reserve.
func (a *Account) ceiling(total mustardramp.Bytes) mustardramp.Bytes {
	switch {
	case a.Limit <= 0:
		return 1 << 62
	case total > smallHead:
		return mustardramp.Bytes(largeHeadShare * float64(a.Limit))
	default:
		return a.Limit
	}
}

// fullShare is the share of the account from which unfinished heads are closed. The
// rest has room for the ordinary requests that arrive in the meantime.
const fullShare = 0.875

// IsFull reports whether unfinished heads should be closed to make room for others.
func (a *Account) IsFull() bool {
	return a != nil && a.Limit > 0 && float64(a.Used()) > fullShare*float64(a.Limit)
}

// Hold reserves n bytes for a request that is already being served, even beyond the
// bound. Requests that arrive later are refused instead.
func (a *Account) Hold(n mustardramp.Bytes) {
	if a != nil {
		a.used.Add(int64(n))
	}
}

// Release releases n bytes.
func (a *Account) Release(n mustardramp.Bytes) {
	if a != nil {
		a.used.Add(-int64(n))
	}
}

// Used returns the bytes that are held now.
func (a *Account) Used() mustardramp.Bytes {
	if a == nil {
		return 0
	}
	return mustardramp.Bytes(a.used.Load())
}
