package host

import (
	"time"

	"k8s.io/klog/v2"

	fleetapi "github.com/mustardramp/mustardramp/gen/fleet"
	"github.com/mustardramp/mustardramp/internal/ledger"
	"github.com/mustardramp/mustardramp/internal/quorum"
	"github.com/mustardramp/mustardramp/internal/roster"
)

// boundReportInterval is the time between two checks of what a control host remembers.
const boundReportInterval = time.Second

// nearBound is the share of a bound from which on an operator is warned.
const nearBound = 0.75

// bound is the number of things of one kind that a control host remembers, and how many
// it may remember. At the bound, new ones are refused.
type bound struct {
	name, unit string
	count      int
	limit      int
}

// boundLevel is how far a bound is reached.
type boundLevel uint8

const (
	boundFar boundLevel = iota
	boundNear
	boundReached
)

func (b *bound) level() boundLevel {
	switch {
	case b.count >= b.limit:
		return boundReached
	case float64(b.count) >= nearBound*float64(b.limit):
		return boundNear
	default:
		return boundFar
	}
}

// counter returns the bound for the administration API.
func (b *bound) counter() *fleetapi.Histogram {
	return &fleetapi.Histogram{Name: b.name, Count: int64(b.count), Max: float64(b.limit), Unit: b.unit}
}

// bounds returns what the control host remembers of hosts, backends and operations that
// may be gone for good.
func (c *Control) bounds() []bound {
	all := []bound{{"backends", "backends", c.roster.Size(), roster.MaxBackends}}
	for _, g := range c.groups {
		learners := g.log.Status().Membership.LearnerCount()
		all = append(all, bound{"group-learners/" + g.Name, "members", learners, quorum.MaxLearners})
	}
	for _, l := range c.ledgers {
		all = append(all, bound{"ledger-entries/" + string(l.Region), "entries", l.State.Size(), ledger.MaxEntries})
	}
	return all
}

// reportBounds logs each bound that has come near, or was reached, since the last call.
func (c *Control) reportBounds() {
	if c.boundLevels == nil {
		c.boundLevels = map[string]boundLevel{}
	}
	for _, b := range c.bounds() {
		if b.level() > c.boundLevels[b.name] {
			klog.InfoS("bound-near", "name", b.name, "count", b.count, "limit", b.limit, "unit", b.unit)
		}
		c.boundLevels[b.name] = b.level()
	}
}
