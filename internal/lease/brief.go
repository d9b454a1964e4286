package lease

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/pool"
)

// Briefing tells the next keeper of a group what its keeper believes of the
// backends, so that it starts with it when it takes over.
type Briefing struct {
	Service mustardramp.ServiceName `cbor:"1,keyasint"`
	Group   GroupID                 `cbor:"2,keyasint"`
	Beliefs []pool.Belief           `cbor:"3,keyasint"`
}

// Brief tells the next keepers what this host believes of the groups that it
// keeps. It is called now and then, and before the host leaves.
func (p *Pool) Brief(ctx context.Context) {
	var group errgroup.Group
	p.desks.Range(func(id, value any) bool {
		g := p.plan.Load().byID[id.(GroupID)]
		next := p.nextKeeper(g)
		if next == "" {
			return true
		}
		briefing := Briefing{Service: p.config.Pool.Terms.Service, Group: g.id, Beliefs: value.(*desk).pool.Beliefs()}
		if len(briefing.Beliefs) == 0 {
			return true
		}
		group.Go(func() error {
			bounded, cancel := context.WithTimeout(ctx, reportTime)
			defer cancel()
			if err := p.config.Peers.Brief(bounded, next, briefing); err != nil {
				klog.V(1).InfoS("briefing-lost", "service", briefing.Service, "to", next, "cause", err)
			}
			return nil
		})
		return true
	})
	_ = group.Wait()
}

// nextKeeper returns the host that is asked for a group after this one, if this
// one keeps it.
func (p *Pool) nextKeeper(g *group) mustardramp.HostName {
	if p.config.Peers == nil || g == nil || len(g.keepers) < 2 || g.keepers[0] != p.config.Holder.Host {
		return ""
	}
	return g.keepers[1]
}

// Adopt takes in the beliefs of a group's keeper.
func (p *Pool) Adopt(briefing Briefing) {
	g := p.plan.Load().byID[briefing.Group]
	if g == nil || !slices.Contains(g.keepers, p.config.Holder.Host) {
		return
	}
	p.desk(briefing.Group).pool.Adopt(briefing.Beliefs)
}
