package lease

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/pool"
	"github.com/mustardramp/mustardramp/internal/retry"
)

// Handover carries the state of one group from one keeper to another. The first
// keeper sends the second one its risk estimates of the backends and its attempt
// counts, so that the second one starts with both when it takes over. A backup
// keeper that served requests sends the first one its counts.
type Handover struct {
	Service mustardramp.ServiceName `cbor:"1,keyasint"`
	Group   GroupID                 `cbor:"2,keyasint"`
	Risks   []pool.BackendRisk      `cbor:"3,keyasint"`
	Counts  retry.Counts            `cbor:"4,keyasint"`
}

// SendHandovers sends a handover for each group that this host keeps to another
// keeper of the group. It is called periodically and before the host leaves the
// fleet.
func (p *Pool) SendHandovers(ctx context.Context) {
	var group errgroup.Group
	p.lessors.Range(func(id, value any) bool {
		g := p.plan.Load().byID[id.(GroupID)]
		to, handover := p.newHandover(g, value.(*lessor))
		if to == "" {
			return true
		}
		group.Go(func() error {
			sendCtx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			if err := p.config.Peers.HandOver(sendCtx, to, handover); err != nil {
				klog.V(1).InfoS("handover-failed", "service", handover.Service, "to", to, "cause", err)
			}
			return nil
		})
		return true
	})
	_ = group.Wait()
}

// backupHandoverPeriod is how long after its last request a backup keeper sends
// its counts to the first keeper. It equals the span of the retry budget.
const backupHandoverPeriod = 10 * time.Second

// newHandover returns the handover of a group and its recipient. The recipient is
// empty when there is nothing to send.
func (p *Pool) newHandover(g *group, l *lessor) (mustardramp.HostName, Handover) {
	if p.config.Peers == nil || g == nil || len(g.keepers) < 2 {
		return "", Handover{}
	}
	now := p.clock.Now()
	handover := Handover{Service: p.config.Pool.Terms.Service, Group: g.id}
	if l.pooled.Load() {
		handover.Counts = l.window.Counts(now)
	}
	if g.keepers[0] == p.config.Holder.Host {
		if handover.Risks = l.pool.Risks(); len(handover.Risks) == 0 && len(handover.Counts.Fresh) == 0 {
			return "", Handover{}
		}
		return g.keepers[1], handover
	}
	if len(handover.Counts.Fresh) == 0 || !l.window.CountedSince(now.Add(-backupHandoverPeriod)) {
		return "", Handover{}
	}
	return g.keepers[0], handover
}

// Adopt merges the state that another keeper of a group has sent.
func (p *Pool) Adopt(handover Handover) {
	g := p.plan.Load().byID[handover.Group]
	if g == nil || !slices.Contains(g.keepers, p.config.Holder.Host) {
		return
	}
	l := p.lessor(handover.Group)
	l.pool.AdoptRisks(handover.Risks)
	l.window.Adopt(p.clock.Now(), handover.Counts)
}
