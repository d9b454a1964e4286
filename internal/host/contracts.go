// Package host assembles the entry hosts and control hosts of the fleet from their
// parts and runs them.
package host

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/registry"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// rememberedRevisions is the number of latest revisions of each contract that a
// host keeps, to explain refusals without asking a control host.
const rememberedRevisions = 4

// Contracts holds the contracts in force at an entry host. Requests read the
// set through an atomic pointer. The zero value holds no contracts; Remote and
// Changed must be set before the first Merge.
type Contracts struct {
	// Remote is the client of the control hosts.
	Remote *registry.Remote
	// Changed is called with each new set, by one goroutine at a time. It may be
	// nil.
	Changed func(*contract.Set)

	set atomic.Pointer[contract.Set]
	mu  sync.Mutex
	// view is guarded by mu.
	view registry.View
	// revisions holds the latest revisions by service, oldest first. It is guarded
	// by mu.
	revisions map[mustardramp.ServiceName][]registry.Entry
}

// Set returns the contracts in force, or nil before the host knows them.
func (c *Contracts) Set() *contract.Set {
	return c.set.Load()
}

// Index returns the log index of the newest change in force.
func (c *Contracts) Index() mustardramp.Index {
	set := c.set.Load()
	if set == nil {
		return 0
	}
	return set.Index
}

// Merge applies a change record and puts the resulting set in force.
func (c *Contracts) Merge(record mustardramp.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set, err := c.view.Merge(record)
	if err != nil {
		klog.ErrorS(err, "change-refused", "key", record.Key, "index", record.Version.Epoch)
		return
	}
	if set == nil {
		return
	}
	c.remember(set)
	c.set.Store(set)
	klog.InfoS("configuration-in-force", "index", set.Index, "version", set.Version(), "services", len(set.Contracts()))
	if c.Changed != nil {
		c.Changed(set)
	}
}

// remember adds the entries of a set to the remembered revisions.
func (c *Contracts) remember(set *contract.Set) {
	if c.revisions == nil {
		c.revisions = map[mustardramp.ServiceName][]registry.Entry{}
	}
	for _, k := range set.Contracts() {
		e, ok := c.view.Entry(k.Service)
		if !ok {
			continue
		}
		revisions := c.revisions[k.Service]
		if len(revisions) > 0 && revisions[len(revisions)-1].Revision == e.Revision {
			continue
		}
		revisions = append(revisions, e)
		if len(revisions) > rememberedRevisions {
			revisions = append([]registry.Entry(nil), revisions[len(revisions)-rememberedRevisions:]...)
		}
		c.revisions[k.Service] = revisions
	}
}

// InForce lists the entries in force at this host, sorted by service.
func (c *Contracts) InForce() []registry.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.set.Load()
	var entries []registry.Entry
	for _, k := range set.Contracts() {
		if e, ok := c.view.Entry(k.Service); ok {
			entries = append(entries, e)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Service < entries[j].Service })
	return entries
}

// Entry returns a revision of a service's contract from this host's memory, or
// asks a control host for it. Revision 0 means the one in force at this host.
func (c *Contracts) Entry(ctx context.Context, service mustardramp.ServiceName, revision mustardramp.Revision) (registry.Entry, bool, error) {
	if e, ok := c.remembered(service, revision); ok || revision == 0 {
		return e, ok, nil
	}
	return c.Remote.Entry(ctx, service, revision)
}

func (c *Contracts) remembered(service mustardramp.ServiceName, revision mustardramp.Revision) (registry.Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision == 0 {
		return c.view.Entry(service)
	}
	for _, e := range c.revisions[service] {
		if e.Revision == revision {
			return e, true
		}
	}
	return registry.Entry{}, false
}

// Check asks a control host for the faults in contract files.
func (c *Contracts) Check(ctx context.Context, files []registry.File) (contract.Faults, error) {
	return c.Remote.Check(ctx, files)
}

// Publish sends a change to a control host.
func (c *Contracts) Publish(ctx context.Context, command registry.Command) (registry.Result, error) {
	return c.Remote.Publish(ctx, command)
}

// Changes asks a control host for the change log.
func (c *Contracts) Changes(ctx context.Context, before mustardramp.Index, service mustardramp.ServiceName, limit int) ([]registry.Change, error) {
	return c.Remote.Changes(ctx, before, service, limit)
}
