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
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// ErrForming is the class of errors of a group that has not grown to its size
// yet: what it acknowledged would not survive the losses that it is to bear.
var ErrForming = errs.Class("group forming")

// expirePause is the time between two looks at the leases of announcements.
const expirePause = 250 * time.Millisecond

// Announce takes in what a backend says of itself at this control host. The
// leaving of a backend is committed before Announce returns.
func (c *Control) Announce(ctx context.Context, b mustardramp.Backend) error {
	if b.State >= mustardramp.Leaving {
		return c.Leave(ctx, b.Instance, b.Incarnation)
	}
	return c.roster.Announce(c.clock.Now(), b, c.config.Lease)
}

// Leave commits that an incarnation of a backend takes no new work.
func (c *Control) Leave(ctx context.Context, instance string, incarnation mustardramp.Incarnation) error {
	return c.desk.Leave(ctx, registry.Leaving{Instance: instance, Incarnation: incarnation})
}

// Incarnation returns the newest incarnation of an instance that has announced
// itself, or false.
func (c *Control) Incarnation(instance string) (mustardramp.Incarnation, bool) {
	return c.roster.Incarnation(instance)
}

// Publish commits a routing table. One that is no newer than the table in force
// changes nothing and is no error. Faults come as contract.Faults; after any
// other error the table may still take force.
func (c *Control) Publish(ctx context.Context, table *contract.Table) error {
	if faults := table.Check(tableFile); len(faults) > 0 {
		return faults
	}
	if !c.hasFormed() {
		return ErrForming.New("%d of %d members", c.voters(), c.config.Size)
	}
	source, err := table.Encode()
	if err != nil {
		return err
	}
	result, err := c.desk.Publish(ctx, registry.Command{
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
	case result.Broken != "":
		return registry.Error.New("%s", result.Broken)
	}
	klog.InfoS("table-acknowledged", "version", table.Version, "held", result.Held, "routes", len(table.Routes))
	return nil
}

// tableFile names the routing tables that Publish commits.
const tableFile = "table.json"

// Table returns the routing table in force, confirmed by a quorum, or nil.
func (c *Control) Table(ctx context.Context) (*contract.Table, error) {
	return c.desk.Table(ctx)
}

// hasFormed reports whether the group of the contracts has had all the voters
// that it can have. Once it had them, a loss does not stop it.
func (c *Control) hasFormed() bool {
	if c.config.Size == 0 || c.formed.Load() {
		return true
	}
	if c.state.Table() != nil || c.voters() >= min(c.config.Size, c.known()) {
		c.formed.Store(true)
		return true
	}
	return false
}

func (c *Control) voters() int {
	n := 0
	for _, m := range c.groups[0].log.Status().Membership {
		if m.Voter {
			n++
		}
	}
	return n
}

// known counts the control hosts that this one knows of, itself included, but
// never fewer than the seeds.
func (c *Control) known() int {
	n := 1
	for _, m := range c.exchange.Members() {
		if m.Host.Role == membership.Control {
			n++
		}
	}
	return max(n, len(c.config.Seeds))
}

// learnBackend takes in what another host heard of a backend.
func (c *Control) learnBackend(record mustardramp.Record) {
	if err := c.roster.Merge(c.clock.Now(), record); err != nil {
		klog.ErrorS(err, "backend-record-refused", "key", record.Key)
	}
}

// expireLeases spreads the word of backends that stopped announcing themselves.
func (c *Control) expireLeases() {
	if err := c.roster.Expire(c.clock.Now(), nil); err != nil {
		klog.ErrorS(err, "roster-not-expired")
	}
}

// spreadLeavings passes committed leavings on to all hosts.
func (c *Control) spreadLeavings(leavings []registry.Leaving) {
	if c.exchange == nil {
		return
	}
	records := make([]mustardramp.Record, 0, len(leavings))
	for _, l := range leavings {
		c.roster.Depart(c.clock.Now(), l.Instance, l.Incarnation)
		record, err := l.Record()
		if err != nil {
			klog.ErrorS(err, "leaving-not-spread", "instance", l.Instance)
			continue
		}
		records = append(records, record)
	}
	c.exchange.OfferAll(records)
}
