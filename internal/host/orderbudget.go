package host

import (
	"context"

	"golang.org/x/sync/semaphore"

	"github.com/mustardramp/mustardramp"
)

const (
	// orderMemoryShare is the share of a control host's memory for the configurations
	// that it decodes, checks and encodes at the same time.
	orderMemoryShare = 0.25
	// orderCopies is how many times its size a configuration takes meanwhile: as text,
	// decoded for the check and again by the log's state, and encoded.
	orderCopies = 12
	// smallOrder is the size up to which a configuration does not wait for others.
	smallOrder mustardramp.Bytes = 64 << 10
)

// orderBudget limits the size of the configurations that are handled at the same time,
// so that the memory of a control host does not depend on how many orders come
// together. Its zero value sets no limit.
type orderBudget struct {
	bytes *semaphore.Weighted
	total int64
}

// newOrderBudget returns the budget of a host with a memory limit; 0 sets none.
func newOrderBudget(memory mustardramp.Bytes) orderBudget {
	total := int64(float64(memory) * orderMemoryShare / orderCopies)
	if total == 0 {
		return orderBudget{}
	}
	return orderBudget{bytes: semaphore.NewWeighted(total), total: total}
}

// reserve waits until a configuration of a size may be read and returns the function
// that ends its reservation. One that is larger than the budget waits until it is the
// only one.
func (b *orderBudget) reserve(ctx context.Context, size mustardramp.Bytes) (release func(), err error) {
	if b.bytes == nil || size <= smallOrder {
		return func() {}, nil
	}
	weight := min(int64(size), b.total)
	if err := b.bytes.Acquire(ctx, weight); err != nil {
		return nil, err
	}
	return func() { b.bytes.Release(weight) }, nil
}

// ReserveOrder waits until this host may read a configuration of a size. The caller
// must call release once the configuration is published or refused.
func (c *Control) ReserveOrder(ctx context.Context, size mustardramp.Bytes) (release func(), err error) {
	return c.orders.reserve(ctx, size)
}
