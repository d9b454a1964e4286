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

// Briefing tells the next keeper of a group what its keeper believes of the
// backends and which attempts it counted, so that it starts with both when it takes
// over. A keeper that stood in tells the first one its counts.
type Briefing struct {
	Service mustardramp.ServiceName `cbor:"1,keyasint"`
	Group   GroupID                 `cbor:"2,keyasint"`
	Beliefs []pool.Belief           `cbor:"3,keyasint"`
	Counts  retry.Counts            `cbor:"4,keyasint"`
}

// Brief tells the next keepers what this host knows of the groups that it keeps.
// It is called now and then, and before the host leaves.
func (p *Pool) Brief(ctx context.Context) {
	var group errgroup.Group
	p.desks.Range(func(id, value any) bool {
		g := p.plan.Load().byID[id.(GroupID)]
		to, briefing := p.briefing(g, value.(*desk))
		if to == "" {
			return true
		}
		group.Go(func() error {
			bounded, cancel := context.WithTimeout(ctx, reportTime)
			defer cancel()
			if err := p.config.Peers.Brief(bounded, to, briefing); err != nil {
				klog.V(1).InfoS("briefing-lost", "service", briefing.Service, "to", to, "cause", err)
			}
			return nil
		})
		return true
	})
	_ = group.Wait()
}

// standInTime is the time after an ask for which a keeper that stood in tells the
// first one its counts: the span of the budget.
const standInTime = 10 * time.Second

// briefing returns what a desk has to tell, and to whom; nobody when there is
// nothing.
func (p *Pool) briefing(g *group, d *desk) (mustardramp.HostName, Briefing) {
	if p.config.Peers == nil || g == nil || len(g.keepers) < 2 {
		return "", Briefing{}
	}
	now := p.clock.Now()
	b := Briefing{Service: p.config.Pool.Terms.Service, Group: g.id}
	if d.pooled.Load() {
		b.Counts = d.window.Counts(now)
	}
	if g.keepers[0] == p.config.Holder.Host {
		if b.Beliefs = d.pool.Beliefs(); len(b.Beliefs) == 0 && len(b.Counts.Fresh) == 0 {
			return "", Briefing{}
		}
		return g.keepers[1], b
	}
	if len(b.Counts.Fresh) == 0 || !d.window.UsedSince(now.Add(-standInTime)) {
		return "", Briefing{}
	}
	return g.keepers[0], b
}

// Adopt takes in what another keeper of a group knows.
func (p *Pool) Adopt(briefing Briefing) {
	g := p.plan.Load().byID[briefing.Group]
	if g == nil || !slices.Contains(g.keepers, p.config.Holder.Host) {
		return
	}
	d := p.desk(briefing.Group)
	d.pool.Adopt(briefing.Beliefs)
	d.window.Adopt(p.clock.Now(), briefing.Counts)
}
