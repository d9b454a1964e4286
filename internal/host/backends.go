package host

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/membership"
	"github.com/mustardramp/mustardramp/internal/registry"
	"github.com/mustardramp/mustardramp/internal/roster"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// ErrForming is the class of errors of a group that has not reached its size
// yet: an acknowledged change would not survive the losses that the full group
// tolerates.
var ErrForming = errs.Class("group forming")

// expireInterval is the time between two checks of the leases of announcements.
const expireInterval = 250 * time.Millisecond

// Announce records the announcement that a backend made at this control host. If
// the backend is leaving, that is committed before Announce returns. The incarnation
// is the Unix time in milliseconds of the backend's start.
func (c *Control) Announce(ctx context.Context, b mustardramp.Backend) error {
	if b.State >= mustardramp.Leaving {
		return c.Leave(ctx, b.Instance, b.Incarnation)
	}
	if err := roster.CheckStart(c.clock.Now(), b.Incarnation); err != nil {
		return err
	}
	return c.roster.Announce(c.clock.Now(), b, c.config.Lease)
}

// Leave commits that an incarnation of a backend server takes no new work.
func (c *Control) Leave(ctx context.Context, instance string, incarnation mustardramp.Incarnation) error {
	if err := roster.CheckStart(c.clock.Now(), incarnation); err != nil {
		return err
	}
	return c.contracts.Leave(ctx, registry.Departure{Instance: instance, Incarnation: incarnation})
}

// Incarnation returns the newest incarnation that an instance has announced, or
// false if it has announced none.
func (c *Control) Incarnation(instance string) (mustardramp.Incarnation, bool) {
	return c.roster.Incarnation(instance)
}

// Publish commits a routing table. A table that is no newer than the one in
// force changes nothing and is not an error. Faults in the table are returned as
// contract.Faults; after any other error the table may still come into force.
func (c *Control) Publish(ctx context.Context, table *contract.Table) error {
	if faults := table.Check(tableFile); len(faults) > 0 {
		return faults
	}
	if !c.hasFormed() {
		return ErrForming.New("%d of %d members", c.voterCount(), c.config.TargetVoters)
	}
	source, err := table.Encode()
	if err != nil {
		return err
	}
	result, err := c.contracts.Publish(ctx, registry.Command{
		Change: mustardramp.ChangeID(uuid.NewString()),
		Who:    string(c.config.Name),
		Why:    "published at this host",
		At:     mustardramp.TimeOfDay(c.clock.Now()),
		Files:  []registry.File{{Name: tableFile, Source: source}},
	})
	switch {
	case err != nil:
		return err
	case len(result.Faults) > 0:
		return result.Faults
	case result.DecodeError != "":
		return registry.Error.New("%s", result.DecodeError)
	}
	var index mustardramp.Index
	if result.Change != nil {
		index = result.Change.Index
	}
	klog.InfoS("table-acknowledged", "version", table.Version, "index", index, "held", result.TableInForce, "routes", len(table.Routes))
	return nil
}

// tableFile is the file name of the routing tables that Publish commits.
const tableFile = "table.json"

// Table returns the routing table in force after a quorum confirmed it, or nil if
// there is none.
func (c *Control) Table(ctx context.Context) (*contract.Table, error) {
	return c.contracts.Table(ctx)
}

// hasFormed reports whether the contracts group has had all the voters that it
// can have. From then on it stays true when members are lost.
func (c *Control) hasFormed() bool {
	if c.config.TargetVoters == 0 || c.formed.Load() {
		return true
	}
	if c.state.Table() != nil || c.voterCount() >= min(c.config.TargetVoters, c.knownControlHosts()) {
		c.formed.Store(true)
		return true
	}
	return false
}

func (c *Control) voterCount() int {
	n := 0
	for _, m := range c.groups[0].log.Status().Membership {
		if m.Voter {
			n++
		}
	}
	return n
}

// knownControlHosts counts the control hosts that this host knows of, itself
// included. The result is never below the number of seeds.
func (c *Control) knownControlHosts() int {
	n := 1
	for _, m := range c.exchange.Members() {
		if m.Host.Role == membership.Control {
			n++
		}
	}
	return max(n, len(c.config.Seeds))
}

// learnBackend merges a backend record of another host into the roster.
func (c *Control) learnBackend(record mustardramp.Record) {
	if err := c.roster.Merge(c.clock.Now(), record); err != nil {
		klog.ErrorS(err, "backend-record-refused", "key", record.Key)
	}
}

// expireLeases ends the leases of backends that stopped announcing themselves and
// spreads this to the other hosts.
func (c *Control) expireLeases() {
	if err := c.roster.Expire(c.clock.Now(), nil); err != nil {
		klog.ErrorS(err, "lease-expiry-failed")
	}
}

// spreadDepartures sends committed departures of backends to all hosts.
func (c *Control) spreadDepartures(departures []registry.Departure) {
	if c.exchange == nil {
		return
	}
	records := make([]mustardramp.Record, 0, len(departures))
	for _, d := range departures {
		c.roster.Depart(c.clock.Now(), d.Instance, d.Incarnation)
		record, err := d.Record()
		if err != nil {
			klog.ErrorS(err, "leaving-encoding-failed", "instance", d.Instance)
			continue
		}
		records = append(records, record)
	}
	c.exchange.OfferAll(records)
}
