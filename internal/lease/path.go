package lease

import (
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
)

// pathTime is how long a host does not ask for a backend that it could not
// reach, while others may.
const pathTime = 2 * time.Second

// notePath learns from the end of an attempt whether a backend can be reached
// from this host.
func (p *Pool) notePath(id mustardramp.BackendID, result mustardramp.Result) {
	switch result {
	case mustardramp.ResultDial:
		p.paths.Store(id, p.clock.Now().Add(pathTime).UnixNano())
	case mustardramp.ResultGood:
		p.paths.Delete(id)
	}
}

// shunned lists the group's backends that this host does not use.
func (p *Pool) shunned(g *group) []mustardramp.BackendID {
	out := slices.Clip(slices.Clone(g.shunned))
	now := p.clock.Now().UnixNano()
	p.paths.Range(func(id, until any) bool {
		if until.(int64) <= now {
			p.paths.Delete(id)
			return true
		}
		if !slices.Contains(out, id.(mustardramp.BackendID)) {
			out = append(out, id.(mustardramp.BackendID))
		}
		return true
	})
	return out
}
