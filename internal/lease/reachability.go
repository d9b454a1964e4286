package lease

import (
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
)

// unreachablePeriod is how long this host excludes a backend that it failed to
// dial. Other hosts may still use it.
const unreachablePeriod = 2 * time.Second

// recordReachability records from the result of an attempt whether this host can
// reach the backend.
func (p *Pool) recordReachability(id mustardramp.BackendID, result mustardramp.Result) {
	switch result {
	case mustardramp.ResultDial:
		p.unreachable.Store(id, p.clock.Now().Add(unreachablePeriod).UnixNano())
	case mustardramp.ResultSuccess:
		p.unreachable.Delete(id)
	}
}

// excludedBackends returns the backends of the group that this host must not use.
func (p *Pool) excludedBackends(g *group) []mustardramp.BackendID {
	out := slices.Clip(slices.Clone(g.excluded))
	now := p.clock.Now().UnixNano()
	p.unreachable.Range(func(id, until any) bool {
		if until.(int64) <= now {
			p.unreachable.Delete(id)
			return true
		}
		if !slices.Contains(out, id.(mustardramp.BackendID)) {
			out = append(out, id.(mustardramp.BackendID))
		}
		return true
	})
	return out
}
