package exchange

import (
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/membership"
)

// Core joins a Node to its view of the fleet: what the node hears tells the
// view, and the view chooses the node's links. It is as pure as its parts.
type Core struct {
	Node    *Node
	Members *membership.Members
	// Seeds are called while no other host is known.
	Seeds []netip.AddrPort
	// contact is that of an entry host with control hosts.
	contact contact
}

// NewCore returns a core that has offered the host's own statement.
func NewCore(now time.Time, self membership.Host, seeds []netip.AddrPort, bytesPerSecond mustardramp.Bytes) *Core {
	c := &Core{
		Node:    NewNode(self.Name, uint64(self.Incarnation), bytesPerSecond),
		Members: membership.New(self),
		Seeds:   seeds,
	}
	c.Offer(now, c.Members.Statement())
	return c
}

// Offer merges records made at this host. It returns those that are news.
func (c *Core) Offer(now time.Time, records ...mustardramp.Record) []mustardramp.Record {
	return c.learn(now, c.Node.Offer(now, records...))
}

// Answer takes in a peer's request.
func (c *Core) Answer(now time.Time, r *Request) (*Response, []mustardramp.Record, error) {
	resp, news, err := c.Node.Answer(now, r)
	if r.Ready && c.Members.IsControl(r.From) {
		c.contact.hear(now)
	}
	return resp, c.learn(now, news), err
}

// Done takes in the response to a request.
func (c *Core) Done(now time.Time, s Send, resp *Response) ([]mustardramp.Record, error) {
	if s.To.Control && resp.Ready {
		c.contact.hear(now)
	}
	news, err := c.Node.Done(now, s.To.Name, s.Request, resp)
	news = c.learn(now, news)
	return append(news, c.Offer(now, c.Members.Heard(now, s.To.Name)...)...), err
}

// Failed takes in that a request had no response.
func (c *Core) Failed(now time.Time, s Send) []mustardramp.Record {
	c.Node.Failed(now, s.To.Name, s.Request)
	if s.To.Only {
		// A host that control hosts cannot reach may be well: its other links
		// judge it.
		return nil
	}
	return c.Offer(now, c.Members.Missed(now, s.To.Name)...)
}

// Drain tells the fleet that this host leaves.
func (c *Core) Drain(now time.Time) []mustardramp.Record {
	return c.Offer(now, c.Members.Drain())
}

// Step judges the fleet and sets the node's links. It returns the peers.
func (c *Core) Step(now time.Time) []Peer {
	for _, key := range c.Members.Step(now) {
		c.Node.Forget(now, mustardramp.RecordHost, key)
	}
	hosts := c.Members.Peers(now)
	if !c.Node.Ready() {
		// The peers of a small or unevenly spread fleet may be too few.
		hosts = union(hosts, c.Members.Sources(now, readyPeers))
	}
	var peers []Peer
	for _, h := range hosts {
		peers = append(peers, Peer{
			Name: h.Name, Address: h.Address, Place: h.Place,
			Control: h.Role == membership.Control,
			Bridge:  h.Place.Region != c.Members.Self().Place.Region,
		})
	}
	if len(peers) == 0 {
		peers = c.seedPeers()
	}
	peers = c.feed(now, peers)
	c.Node.SetLinks(now, peers)
	return peers
}

// feed marks the peers to which this host sends changes at once, and adds those
// that it has no other link to. It answers changes in quick succession on busy
// links: passed on from host to host, each would wait on every link of its way.
func (c *Core) feed(now time.Time, peers []Peer) []Peer {
	for _, h := range c.Members.Fed(now) {
		i := slices.IndexFunc(peers, func(p Peer) bool { return p.Name == h.Name })
		if i < 0 {
			peers = append(peers, Peer{Name: h.Name, Address: h.Address, Place: h.Place, Only: true})
			i = len(peers) - 1
		}
		peers[i].Fed = true
	}
	return peers
}

// union returns the hosts of both lists, each once.
func union(a, b []membership.Host) []membership.Host {
	out := slices.Clone(a)
	for _, h := range b {
		if !slices.ContainsFunc(a, func(other membership.Host) bool { return other.Name == h.Name }) {
			out = append(out, h)
		}
	}
	return out
}

// seedPeers stand in for peers; each bears its address as its name.
func (c *Core) seedPeers() []Peer {
	var peers []Peer
	for _, address := range c.Seeds {
		if address != c.Members.Self().Address {
			peers = append(peers, Peer{Name: mustardramp.HostName(address.String()), Address: address})
		}
	}
	return peers
}

// learn tells the view of the fleet what is news, and adds the statements that
// it makes in answer.
func (c *Core) learn(now time.Time, news []mustardramp.Record) []mustardramp.Record {
	all := news
	for len(news) > 0 {
		var answers []mustardramp.Record
		for _, r := range news {
			if r.Kind != mustardramp.RecordHost {
				continue
			}
			made, err := c.Members.Learn(now, r)
			if err != nil {
				klog.ErrorS(err, "statement-unreadable", "key", r.Key)
			}
			answers = append(answers, made...)
		}
		news = c.Node.Offer(now, answers...)
		all = append(all, news...)
	}
	return all
}
