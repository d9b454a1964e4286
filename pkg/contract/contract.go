// Package contract reads, checks and compiles the files in which operators
// describe a service: what may be retried, what must run at most once, and
// which rank each kind of work holds.
package contract

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

// Contract is one service's description, checked and compiled.
type Contract struct {
	Service mustardramp.ServiceName
	// Revision is 0 until the contract is published.
	Revision mustardramp.Revision
	// Hosts lists the values of the Host header that lead to the service. It
	// is never empty: the service's name is the default.
	Hosts []string
	// Home is the region whose ledger group holds the service's keys. It is
	// set when a route has a key.
	Home mustardramp.Region
	// Floor is the share of the serving slots that ejection leaves, 0 to 100.
	Floor mustardramp.Percent
	// Slots and Connections stand in for what an announcement leaves out.
	Slots       mustardramp.Slots
	Connections int
	// Caution is the accepted rate of false ejections per backend and day.
	Caution float64
	// Budget is the share of fresh traffic that retries may add.
	Budget mustardramp.Percent
	// Ramp is the time in which a started backend comes to full work; zero stands
	// for the ejection's own.
	Ramp time.Duration
	// Pooled is true when further attempts are bounded for the whole fleet where
	// slots are granted, and not by each host.
	Pooled bool
	// Hedge is true when idempotent reads may be sent a second time early.
	Hedge bool
	// Shed names the response header by which a backend declares that it did
	// not run a request. Empty means that no answer proves it.
	Shed string
	// Keep is for how long the outcome of a keyed operation is kept.
	Keep time.Duration
	// Ranks holds the settings by rank.
	Ranks [mustardramp.RankCount]RankTerms
	// Routes are in the order of the file.
	Routes []Route
	// Source is the text of the file.
	Source []byte
	// Table is set in the form in which a routing table travels, whose Service
	// is TableName; the fields above but Revision and Source are then empty.
	Table *Table

	lines map[string]int
	tree  *node
}

// RankTerms are the settings of one rank.
type RankTerms struct {
	// Share is the share of the service's slots that the rank gets in any
	// flood of the others. The shares of all ranks sum to at most 100.
	Share mustardramp.Percent
	// Wait is the longest time in the queue.
	Wait time.Duration
	// Line is the line of the settings in the file, or 0 for defaults.
	Line int
}

// Route is a kind of work: the requests of some methods to a path.
type Route struct {
	// Path is a pattern: "/orders/{id}" or "/files/{rest...}".
	Path string
	// Methods is never empty.
	Methods []string
	Rank    mustardramp.Rank
	// Retry allows another attempt after a failed one. It is never set with
	// Once.
	Retry bool
	// Once marks non-idempotent work.
	Once bool
	// Key names the request header with the operation's key; it may be set
	// only with Once. Without it each arrival is an operation of its own.
	Key string
	// Deadline bounds the whole request, from its arrival to the first byte
	// of the answer.
	Deadline time.Duration
	// Whole demands answers that can be known to be whole.
	Whole bool
	// Line is the line of the route in the file, from 1.
	Line int

	// The fields below are set in routes of a routing table alone.

	// Prefix is what the path starts with; it starts and ends with a slash.
	Prefix string
	// Name is the route's own name.
	Name string
	// Target is the time within which an answer has its full value, or 0.
	Target time.Duration
	// Tries is the most backends that one request is sent to.
	Tries int
	// Parts is never empty in a route of a routing table.
	Parts []Part
}

// Tabled reports whether the route belongs to a routing table: its requests
// pass byte for byte, whatever their path.
func (r *Route) Tabled() bool {
	return len(r.Parts) > 0
}

// Rule returns the rule at a line of the contract.
func (c *Contract) Rule(line int) mustardramp.Rule {
	return mustardramp.Rule{Service: c.Service, Revision: c.Revision, Line: line}
}

// Line returns the line of a top-level field, or the first line when the
// field is a default.
func (c *Contract) Line(field string) int {
	if line, ok := c.lines[field]; ok {
		return line
	}
	return 1
}

// Idempotent reports whether the route's work may be sent more than once.
func (r *Route) Idempotent() bool {
	return !r.Once && r.Retry
}
