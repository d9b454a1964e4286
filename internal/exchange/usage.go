package exchange

import (
	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
)

// Usage counts the bytes of links held by this host, on the wire below TLS.
type Usage struct {
	Sent     mustardramp.Bytes
	Received mustardramp.Bytes
}

func (u Usage) plus(t *link.Traffic) Usage {
	return Usage{u.Sent + t.Sent(), u.Received + t.Received()}
}

// LinkUsage is the use of one link that is held now.
type LinkUsage struct {
	Peer     Peer
	Distance mustardramp.Distance
	Usage    Usage
}

// Links lists the links that this host holds now. The other direction of a
// pair of hosts is counted by the other host, if it holds a link.
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

// Usage sums the bytes of all links so far by distance. Those across regions
// travel over the metered link.
func (e *Exchange) Usage() map[mustardramp.Distance]Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[mustardramp.Distance]Usage, len(e.closed))
	for d, u := range e.closed {
		out[d] = u
	}
	for _, l := range e.links {
		d := e.options.Self.Place.To(l.peer.Place)
		out[d] = out[d].plus(&l.client.Traffic)
	}
	return out
}
