// Package host assembles the processes of the fleet: entry hosts and control
// hosts.
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

// rememberedTexts is how many older texts of a service a host keeps, to
// explain refusals without asking a control host.
const rememberedTexts = 4

// Contracts holds the contracts in force at an entry host. Requests read the
// set through an atomic pointer. The zero value holds nothing; Remote and
// Changed are set before the first Merge.
type Contracts struct {
	// Remote reaches the control hosts.
	Remote *registry.Remote
	// Changed is told of each new set, one at a time; it may be nil.
	Changed func(*contract.Set)

	set atomic.Pointer[contract.Set]
	mu  sync.Mutex
	// view and texts are guarded by mu.
	view registry.View
	// texts holds the last texts by service, oldest first.
	texts map[mustardramp.ServiceName][]registry.Entry
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

// Merge takes in a change record.
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
	klog.InfoS("configuration-in-force", "index", set.Index, "services", len(set.Contracts()))
	if c.Changed != nil {
		c.Changed(set)
	}
}

func (c *Contracts) remember(set *contract.Set) {
	if c.texts == nil {
		c.texts = map[mustardramp.ServiceName][]registry.Entry{}
	}
	for _, k := range set.Contracts() {
		e, ok := c.view.Entry(k.Service)
		if !ok {
			continue
		}
		texts := c.texts[k.Service]
		if len(texts) > 0 && texts[len(texts)-1].Revision == e.Revision {
			continue
		}
		texts = append(texts, e)
		if len(texts) > rememberedTexts {
			texts = append([]registry.Entry(nil), texts[len(texts)-rememberedTexts:]...)
		}
		c.texts[k.Service] = texts
	}
}

// InForce lists the entries in force at this host by service.
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

// Entry returns a revision of a service from this host's memory, or from a
// control host. Revision 0 means the one in force here.
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
	for _, e := range c.texts[service] {
		if e.Revision == revision {
			return e, true
		}
	}
	return registry.Entry{}, false
}

// Check asks a control host for the faults in files.
func (c *Contracts) Check(ctx context.Context, files []registry.File) (contract.Faults, error) {
	return c.Remote.Check(ctx, files)
}

// Publish passes a change on to a control host.
func (c *Contracts) Publish(ctx context.Context, command registry.Command) (registry.Result, error) {
	return c.Remote.Publish(ctx, command)
}

// Changes asks a control host for the change log.
func (c *Contracts) Changes(ctx context.Context, before mustardramp.Index, service mustardramp.ServiceName, limit int) ([]registry.Change, error) {
	return c.Remote.Changes(ctx, before, service, limit)
}
