// Package contract parses, checks and compiles contract files. In a contract,
// operators describe a service: which requests may be retried, which must run at
// most once, and the rank of each kind of request. A routing table is another
// form of the same files: it describes the routes of many services.
//
// Parse reads a file of either form. A Set holds the contracts in force and finds
// the contract or the route for a request.
package contract

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

// Contract is the checked and compiled description of a service, or a routing
// table.
type Contract struct {
	Service mustardramp.ServiceName
	// Revision is the published revision, or 0 before the contract is published.
	Revision mustardramp.Revision
	// Hosts lists the values of the Host header that lead to the service, in
	// lower case. It is never empty: the default is the service's name.
	Hosts []string
	// Home is the region whose ledger group stores the service's keys. It is set
	// if a route has a key.
	Home mustardramp.Region
	// Floor is the minimum share of the serving slots that ejection leaves in use,
	// in percent from 0 to 100.
	Floor mustardramp.Percent
	// Slots and Connections are the defaults for backends whose announcements
	// leave these values out.
	Slots       mustardramp.Slots
	Connections int
	// Caution is the accepted number of false ejections per backend and day.
	Caution float64
	// Budget is the maximum number of further attempts, in percent of the first
	// attempts.
	Budget mustardramp.Percent
	// Ramp is the time in which a started backend reaches its full share of
	// requests; zero stands for the default of the ejector.
	Ramp time.Duration
	// Pooled is true if the keepers that grant slots limit further attempts for
	// the whole fleet, instead of each entry host for itself.
	Pooled bool
	// Hedge is true if a slow idempotent read may be sent to a second backend
	// before the first attempt has ended.
	Hedge bool
	// Shed is the name of the response header with which a backend declares that
	// it did not run a request, or empty if there is none.
	Shed string
	// Leaving is the name of the response header with which a backend declares
	// that it is leaving. It is empty if there is none.
	Leaving string
	// Quiet is the name of the header of a 503 with which a backend declares for
	// how long it wants no requests. It is empty if there is none.
	Quiet string
	// Keep is the retention of the outcome of an operation with a key.
	Keep time.Duration
	// Ranks holds the settings of each rank.
	Ranks [mustardramp.RankCount]RankTerms
	// Routes holds the routes in the order of the file.
	Routes []Route
	// Source is the text of the file.
	Source []byte
	// Table is set if the contract is a routing table. Service is then TableName,
	// and the other fields above except Revision and Source are empty.
	Table *Table

	// lines holds the line of each top-level field in the file.
	lines map[string]int
	// tree finds the route for a path.
	tree *node
}

// RankTerms holds the settings of a rank.
type RankTerms struct {
	// Share is the share of the service's slots, in percent, that the rank
	// receives even if the other ranks are overloaded. The shares of all ranks
	// sum to at most 100.
	Share mustardramp.Percent
	// Wait is the maximum time in the queue.
	Wait time.Duration
	// Line is the line of the settings in the file, starting at 1, or 0 if the
	// settings are defaults.
	Line int
}

// Route describes how requests with certain methods and paths are served.
type Route struct {
	// Path is a pattern, such as "/orders/{id}" or "/files/{rest...}".
	Path string
	// Methods lists the HTTP methods. It is empty only in a routing table.
	Methods []string
	Rank    mustardramp.Rank
	// Retry allows another attempt after a failed one. Retry and Once exclude each
	// other.
	Retry bool
	// Once marks non-idempotent requests.
	Once bool
	// Key is the name of the request header with the operation's key. It may be
	// set only with Once. Without it, each request is an operation of its own.
	Key string
	// Deadline is the maximum time from the arrival of the request to the first
	// byte of the answer.
	Deadline time.Duration
	// RequireComplete rejects answers whose end cannot be told from a lost
	// connection.
	RequireComplete bool
	// Line is the line of the route in the file, starting at 1.
	Line int

	// The fields below are set only in routes of a routing table.

	// Prefix is the prefix of the path. It starts and ends with a slash.
	Prefix string
	// Name is the name of the route.
	Name string
	// Target is the time within which an answer has its full value, or 0 if there
	// is none.
	Target time.Duration
	// Tries is the maximum number of backends that a request is sent to.
	Tries int
	// Parts lists the services that share the requests. It is never empty in a
	// route of a routing table.
	Parts []Part
	// Anonymous is true if requests need no key of a workspace.
	Anonymous bool
}

// IsTableRoute reports whether the route belongs to a routing table. The requests
// of such a route are passed on byte for byte, whatever their path.
func (r *Route) IsTableRoute() bool {
	return len(r.Parts) > 0
}

// Rule returns the rule that refers to a line of the contract, for refusals.
func (c *Contract) Rule(line int) mustardramp.Rule {
	return mustardramp.Rule{Service: c.Service, Revision: c.Revision, Line: line}
}

// Line returns the line of a top-level field in the file, or 1 if the file does
// not set the field.
func (c *Contract) Line(field string) int {
	if line, ok := c.lines[field]; ok {
		return line
	}
	return 1
}

// Idempotent reports whether requests of the route may be sent more than once.
func (r *Route) Idempotent() bool {
	return !r.Once && r.Retry
}
