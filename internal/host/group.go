package host

import (
	"context"
	"net/netip"
	"path/filepath"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	fleetapi "github.com/mustardramp/mustardramp/gen/fleet"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/placement"
	"github.com/mustardramp/mustardramp/internal/quorum"
)

// group is this host's member of one replicated group.
type group struct {
	placement.Group
	log   *member
	links *quorum.Links
}

// openGroup opens this host's member of a group from its folder and registers the
// handlers for the group's other members.
func (c *Control) openGroup(p placement.Group, machine mustardramp.StateMachine, reset func() error) (*group, error) {
	g := &group{Group: p}
	peers := map[mustardramp.HostName]link.Invoker{}
	for _, m := range c.config.Control {
		if m.Name != c.config.Name && p.Has(m.Name) {
			peers[m.Name] = &link.Client{Address: m.Address, TLS: c.tlsConfigs.linkClient}
		}
	}
	g.links = quorum.NewLinks(quorum.GroupName(p.Name), c.config.Name, peers)
	return g, g.open(&c.server.Router, quorum.Config{
		Host:    c.config.Name,
		Folder:  filepath.Join(c.config.Data, p.Name),
		Machine: machine,
	}, reset)
}

// openSeeded opens this host's member of the contracts group in a fleet whose
// settings list no control hosts. The group names its hosts by the addresses of
// their links, so that a host known only from the log can be reached.
func (c *Control) openSeeded(machine mustardramp.StateMachine, reset func() error) (*group, error) {
	g := &group{Group: placement.Group{Name: placement.Contracts}}
	for _, s := range c.config.Seeds {
		g.Hosts = append(g.Hosts, mustardramp.HostName(s.String()))
	}
	self := mustardramp.HostName(c.LinkAddress().String())
	g.links = quorum.NewLinks(placement.Contracts, self, nil)
	g.links.Dial = func(name mustardramp.HostName) link.Invoker {
		address, err := netip.ParseAddrPort(string(name))
		if err != nil {
			klog.ErrorS(err, "member-without-address", "host", name)
			return nil
		}
		return &link.Client{Address: address, TLS: c.tlsConfigs.linkClient}
	}
	return g, g.open(&c.server.Router, quorum.Config{
		Host:         self,
		TargetVoters: c.config.TargetVoters,
		IsFirstStart: c.config.IsFirstStart,
		Folder:       filepath.Join(c.config.Data, placement.Contracts),
		Machine:      machine,
	}, reset)
}

// open opens the member and registers the handlers for its peers with the router.
func (g *group) open(router *link.Router, config quorum.Config, reset func() error) error {
	config.Group, config.Hosts, config.Transport = quorum.GroupName(g.Name), g.Hosts, g.links
	var err error
	if g.log, err = openMember(config, reset); err != nil {
		return err
	}
	g.links.Serve(router, g.log)
	return nil
}

// run takes part in the group until the context ends or the member fails.
func (g *group) run(ctx context.Context) error {
	work, ctx := errgroup.WithContext(ctx)
	work.Go(func() error { return g.log.run(ctx) })
	work.Go(func() error { return g.links.Run(ctx) })
	return work.Wait()
}

// status describes the group for the administration API.
func (g *group) status() *fleetapi.GroupStatus {
	s := g.log.Status()
	out := &fleetapi.GroupStatus{
		Group: g.Name, Term: uint64(s.Term), Committed: uint64(s.Commit), Members: []string{}, Role: roleOf(s),
	}
	for _, m := range s.Membership {
		name := string(m.Host)
		if m.ID == s.Leader {
			out.Leader = name
		}
		if !m.Voter {
			name += " (joins)"
		}
		out.Members = append(out.Members, name)
	}
	return out
}

// roleOf returns the role of this host's member in its group. A member without a
// vote is joining: it does not count towards a quorum yet.
func roleOf(s quorum.Status) string {
	self, ok := s.Membership.Member(s.Self.ID)
	switch {
	case s.IsLeading():
		return "leader"
	case ok && self.Voter:
		return "follower"
	default:
		return "joining"
	}
}
