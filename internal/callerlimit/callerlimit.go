// Package callerlimit decides what a host may hold for its callers: which request
// heads it reads, which it refuses for lack of memory, and which connection it closes
// when it has too many. It does no I/O and reads no clock.
package callerlimit

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

// Costs of what a host holds. They are upper estimates of the resident memory.
const (
	// ConnectionCost is the cost of a connection without a request: its goroutine with
	// a stack of 8 KiB, and the read and write buffers of net/http of 4 KiB each.
	ConnectionCost mustardramp.Bytes = 16 << 10
	// RequestCost is the cost of a request besides its head: the goroutines and the
	// buffers of the connection to a backend.
	RequestCost mustardramp.Bytes = 32 << 10
	// lineCost is the cost of a line of a head besides its bytes. net/http keeps each
	// line as a map entry of 79 to 99 bytes (45 if the name occurs again), allocates
	// another 60 to 75 while the map grows, and the copy that is forwarded takes 58 to
	// 79 bytes more.
	lineCost mustardramp.Bytes = 256
	// byteCost is the cost of a byte of a head: the line in the reader's buffer and
	// the string that is made of it.
	byteCost = 3
)

const (
	// smallHead is the cost up to which a head may use the whole account. A head of 40
	// lines and 4 KB, larger than usual, costs 22 KiB.
	smallHead mustardramp.Bytes = 32 << 10
	// largeHeadShare is the share of the account from which larger heads are refused,
	// so that many of them leave room for ordinary requests.
	largeHeadShare = 0.75
	// accountShare is the share of the host's memory that callers may use. The rest is
	// for the host itself (25 to 40 MiB) and for garbage: the runtime's limit is 0.7 of
	// the memory.
	accountShare = 0.25
)

// AccountLimit returns the bound of the account of a host with a memory, or 0 for no
// bound if the memory is 0.
func AccountLimit(memory mustardramp.Bytes) mustardramp.Bytes {
	return mustardramp.Bytes(accountShare * float64(memory))
}

const (
	// A quarter of the descriptors, up to maxSpareDescriptors, is left for the other
	// servers of the host, links between hosts and files. A host of a fleet of 300 has
	// links to dozens of others.
	spareShare          = 4
	maxSpareDescriptors = 1024
	// descriptorsPerCaller is the number of descriptors that a caller's connection
	// may need: its own and that of the connection to a backend.
	descriptorsPerCaller = 2
)

// MaxConnections returns how many connections of callers a host may have with a limit
// of the open descriptors and an account, or 0 for no limit. Connections without
// requests use at most half of the account.
func MaxConnections(descriptors int, account mustardramp.Bytes) int {
	limit := 0
	if descriptors > 0 {
		limit = max(1, (descriptors-min(maxSpareDescriptors, descriptors/spareShare))/descriptorsPerCaller)
	}
	if account > 0 {
		byMemory := max(1, int(account/2/ConnectionCost))
		if limit == 0 || byMemory < limit {
			limit = byMemory
		}
	}
	return limit
}

// HeadCost returns the cost of a head with a number of bytes and lines.
func HeadCost(size, lines int) mustardramp.Bytes {
	return mustardramp.Bytes(size)*byteCost + mustardramp.Bytes(lines)*lineCost
}

// Limits are the limits of what a caller may send before its body. They depend on the
// routing table in force.
type Limits struct {
	// HeadBytes is the maximum size of the request line and the headers.
	HeadBytes mustardramp.Bytes
	// HeadTime is the maximum time in which a head is sent.
	HeadTime time.Duration
	// IdleTime is the time for which a connection without requests is kept open.
	IdleTime time.Duration
}

// minVictimAge is how long a connection must have waited for a head to be closed for a
// new one. Heads of callers inside the limits arrive sooner.
const minVictimAge = time.Second

// Waiting is the state of a connection whose caller the host waits for.
type Waiting struct {
	// Since is when the connection became idle or its head began.
	Since time.Time
	// Unfinished is true if the connection has not sent its first head or has sent a
	// part of a head.
	Unfinished bool
	// Cost is what the part of the head costs.
	Cost mustardramp.Bytes
}

// CostsMore reports whether the connection w should be closed rather than other to make
// room in the account.
func (w Waiting) CostsMore(other Waiting) bool {
	return w.Cost > other.Cost
}

// HasCost reports whether closing the connection makes room for a head. Idle
// connections have none.
func (w Waiting) HasCost() bool {
	return w.Cost > 0
}

// CloseBefore reports whether the connection w should be closed rather than other to
// make room for a new one: unfinished heads before idle connections, and the longest
// wait first.
func (w Waiting) CloseBefore(other Waiting) bool {
	if w.Unfinished != other.Unfinished {
		return w.Unfinished
	}
	return w.Since.Before(other.Since)
}

// MayClose reports whether the connection may be closed to make room for a new one.
func (w Waiting) MayClose(now time.Time) bool {
	return !w.Unfinished || now.Sub(w.Since) >= minVictimAge
}
