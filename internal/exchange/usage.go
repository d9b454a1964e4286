package exchange

import (
	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
)

// Usage counts the bytes of links opened by this host, including those that TLS
// adds.
type Usage struct {
	Sent     mustardramp.Bytes
	Received mustardramp.Bytes
}

func (u Usage) plus(t *link.Traffic) Usage {
	return Usage{u.Sent + t.Sent(), u.Received + t.Received()}
}

// LinkUsage is the usage of one open link.
type LinkUsage struct {
	Peer     Peer
	Distance mustardramp.Distance
	Usage    Usage
}

// Links lists the open links of this host. A link that the peer holds to this host
// is counted by the peer.
func (e *Exchange) Links() []LinkUsage {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []LinkUsage
	for _, name := range e.core.Node.order {
		l := e.links[name]
		if l == nil {
			continue
		}
		out = append(out, LinkUsage{
			Peer:     l.peer,
			Distance: e.options.Self.Place.To(l.peer.Place),
			Usage:    Usage{}.plus(&l.client.Traffic),
		})
	}
	return out
}

// Usage returns the bytes of all links so far, open and closed, by distance. Those
// for AcrossRegions use the limited network link between the regions.
func (e *Exchange) Usage() map[mustardramp.Distance]Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[mustardramp.Distance]Usage, len(e.closedUsage))
	for d, u := range e.closedUsage {
		out[d] = u
	}
	for _, l := range e.links {
		d := e.options.Self.Place.To(l.peer.Place)
		out[d] = out[d].plus(&l.client.Traffic)
	}
	return out
}
