package host

import (
	"math"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	fleetapi "github.com/mustardramp/mustardramp/gen/fleet"
	"github.com/mustardramp/mustardramp/internal/callerconn"
	"github.com/mustardramp/mustardramp/internal/callerlimit"
)

const (
	// guardReportInterval is the time between two log lines on limited callers.
	guardReportInterval = time.Second
	// sideShare is the share of the connections of callers that each other server of a
	// host may have, such as the one of the administration API.
	sideShare = 8
	// minSideConnections is the least number of connections of such a server.
	minSideConnections = 8
)

// guards limits the connections to all HTTP servers of a host. They share one account.
type guards struct {
	account        callerlimit.Account
	maxConnections int
	emptyLines     int
	all            []*callerconn.Guard
}

// init derives the limits from the settings of the host.
func (g *guards) init(c *Common) {
	g.account.Limit = c.CallerMemory
	if g.account.Limit <= 0 {
		g.account.Limit = callerlimit.AccountLimit(c.Memory)
	}
	descriptors := c.descriptors()
	g.maxConnections = callerlimit.MaxConnections(descriptors, g.account.Limit)
	if c.CallerConnections > 0 {
		g.maxConnections = c.CallerConnections
	}
	g.emptyLines = c.EmptyLines
	klog.InfoS("caller-limits", "memory", g.account.Limit, "connections", g.maxConnections, "descriptors", descriptors)
}

// descriptors returns the number of descriptors that the process may open, or 0 if
// there is no limit.
func (c *Common) descriptors() int {
	limit := c.Descriptors
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > math.MaxInt32 {
		return limit
	}
	if limit <= 0 || int(r.Cur) < limit {
		limit = int(r.Cur)
	}
	return limit
}

// newMain returns the guard of the server for which the host exists.
func (g *guards) newMain(name string, limits func() callerlimit.Limits, encrypted bool) *callerconn.Guard {
	return g.add(name, limits, g.maxConnections, encrypted)
}

// newSide returns the guard of another server.
func (g *guards) newSide(name string, encrypted bool) *callerconn.Guard {
	limit := g.maxConnections
	if limit > 0 {
		limit = max(minSideConnections, limit/sideShare)
	}
	return g.add(name, nil, limit, encrypted)
}

func (g *guards) add(name string, limits func() callerlimit.Limits, connections int, encrypted bool) *callerconn.Guard {
	guard := callerconn.New(name, callerconn.Config{
		Account: &g.account, Limits: limits, MaxConnections: connections, EmptyLines: g.emptyLines, Encrypted: encrypted,
	})
	g.all = append(g.all, guard)
	return guard
}

// counters returns how many connections each server refused or closed since the start,
// by cause.
func (g *guards) counters() []*fleetapi.Histogram {
	var out []*fleetapi.Histogram
	for _, guard := range g.all {
		for cause, n := range guard.Counts() {
			name := "callers-limited/" + guard.Name + "/" + callerconn.Cause(cause).String()
			out = append(out, &fleetapi.Histogram{Name: name, Count: n, Unit: "connections"})
		}
	}
	return out
}

// report logs a line for each server that refused or closed connections since the last
// call.
func (g *guards) report() {
	for _, guard := range g.all {
		guard.Report()
	}
}
