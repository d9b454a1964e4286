package exchange

import (
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/membership"
)

// Core connects a Node with its view of the fleet: the node's records update the
// view, and the view chooses the node's links. Like its parts it has no clock and
// does no I/O.
type Core struct {
	Node    *Node
	Members *membership.Members
	// Seeds are the addresses to call while no other host is known.
	Seeds []netip.AddrPort
	// statePoller schedules an entry host's requests for the confirmed state.
	statePoller statePoller
}

// NewCore returns a core that has offered the host's own statement. A rate of 0
// bytes per second stands for DefaultRate.
func NewCore(now time.Time, self membership.Host, seeds []netip.AddrPort, bytesPerSecond mustardramp.Bytes) *Core {
	c := &Core{
		Node:    NewNode(self.Name, uint64(self.Incarnation), bytesPerSecond),
		Members: membership.New(self),
		Seeds:   seeds,
	}
	c.Node.ready.needsQuorum = self.Role == membership.Control
	c.Offer(now, c.Members.Statement())
	return c
}

// Offer merges records made at this host. It returns the records that replaced
// an older version or were unknown.
func (c *Core) Offer(now time.Time, records ...mustardramp.Record) []mustardramp.Record {
	return c.learn(now, c.Node.Offer(now, records...))
}

// HandleRequest merges the records of a peer's request. It returns the response
// and the accepted records.
func (c *Core) HandleRequest(now time.Time, r *Request) (*Response, []mustardramp.Record, error) {
	resp, accepted, err := c.Node.HandleRequest(now, r)
	if c.Members.IsControl(r.From) {
		c.statePoller.noteMessage(now, controlMessage{r.From, r.Ready, r.Age, c.Node.holdsChangesOf(r.Digests)})
	}
	return resp, c.learn(now, accepted), err
}

// HandleResponse merges the response to a request. It returns the accepted
// records.
func (c *Core) HandleResponse(now time.Time, s Send, resp *Response) ([]mustardramp.Record, error) {
	accepted, err := c.Node.HandleResponse(now, s.To.Name, s.Request, resp)
	if s.To.Control {
		c.statePoller.noteMessage(now, controlMessage{s.To.Name, resp.Ready, resp.Age, c.Node.holdsChangesOf(resp.Digests)})
	}
	accepted = c.learn(now, accepted)
	return append(accepted, c.Offer(now, c.Members.ReportSuccess(now, s.To.Name)...)...), err
}

// HandleFailure records that a request had no response. It returns the
// statements that this host makes about the peer.
func (c *Core) HandleFailure(now time.Time, s Send) []mustardramp.Record {
	c.Node.HandleFailure(now, s.To.Name, s.Request)
	if s.To.ChangesOnly {
		// A host may be healthy although control hosts cannot reach it. Only
		// its other links decide its standing.
		return nil
	}
	return c.Offer(now, c.Members.ReportFailure(now, s.To.Name)...)
}

// Drain announces that this host is leaving. It returns the accepted records. Other
// hosts then hold no links to this one, so it asks a control host for the changes
// that follow while it still serves.
func (c *Core) Drain(now time.Time) []mustardramp.Record {
	c.statePoller.askNow = true
	return c.Offer(now, c.Members.Drain())
}

// Step updates the standing of all hosts and sets the node's links. It returns
// the peers.
func (c *Core) Step(now time.Time) []Peer {
	for _, key := range c.Members.Step(now) {
		c.Node.Forget(now, mustardramp.RecordHost, key)
	}
	hosts := c.Members.Peers(now)
	if !c.Node.Ready() {
		// In a small or unevenly distributed fleet this host may have fewer peers
		// than it needs to become ready.
		hosts = union(hosts, c.Members.Sources(now, minReadyPeers))
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
	peers = c.markDirect(now, peers)
	c.Node.SetLinks(now, peers)
	return peers
}

// markDirect marks the peers to which this host sends changes directly, and adds
// those that it has no other link to. Changes that follow each other quickly on
// busy links would otherwise wait on every link of their way from host to host.
func (c *Core) markDirect(now time.Time, peers []Peer) []Peer {
	for _, h := range c.Members.DirectTargets(now) {
		i := slices.IndexFunc(peers, func(p Peer) bool { return p.Name == h.Name })
		if i < 0 {
			peers = append(peers, Peer{Name: h.Name, Address: h.Address, Place: h.Place, ChangesOnly: true})
			i = len(peers) - 1
		}
		peers[i].Direct = true
	}
	return peers
}

// union returns the hosts of both lists without duplicates.
func union(a, b []membership.Host) []membership.Host {
	out := slices.Clone(a)
	for _, h := range b {
		if !slices.ContainsFunc(a, func(other membership.Host) bool { return other.Name == h.Name }) {
			out = append(out, h)
		}
	}
	return out
}

// seedPeers returns a peer for each seed. Their names are unknown, so each has
// its address as its name.
func (c *Core) seedPeers() []Peer {
	var peers []Peer
	for _, address := range c.Seeds {
		if address != c.Members.Self().Address {
			peers = append(peers, Peer{Name: mustardramp.HostName(address.String()), Address: address})
		}
	}
	return peers
}

// learn passes accepted records to the view of the fleet. It returns them
// together with the statements with which the view answers them.
func (c *Core) learn(now time.Time, accepted []mustardramp.Record) []mustardramp.Record {
	all := accepted
	for len(accepted) > 0 {
		var answers []mustardramp.Record
		for _, r := range accepted {
			if r.Kind != mustardramp.RecordHost {
				continue
			}
			statements, err := c.Members.Learn(now, r)
			if err != nil {
				klog.ErrorS(err, "statement-rejected", "key", r.Key)
			}
			answers = append(answers, statements...)
		}
		accepted = c.Node.Offer(now, answers...)
		all = append(all, accepted...)
	}
	return all
}
