package host

import (
	"context"
	"path/filepath"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	fleetapi "github.com/mustardramp/mustardramp/gen/fleet"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/placement"
	"github.com/mustardramp/mustardramp/internal/quorum"
)

// group is this host's member of one replicated group.
type group struct {
	placement.Group
	log   *quorum.Group
	links *quorum.Links
}

// openGroup opens the member's folder and answers its peers through the
// router.
func (c *Control) openGroup(p placement.Group, machine mustardramp.Machine) (*group, error) {
	g := &group{Group: p}
	peers := map[mustardramp.HostName]link.Caller{}
	for _, m := range c.config.Control {
		if m.Name != c.config.Name && p.Has(m.Name) {
			peers[m.Name] = &link.Client{Address: m.Address, TLS: c.secrets.linkClient}
		}
	}
	name := quorum.GroupName(p.Name)
	g.links = quorum.NewLinks(name, c.config.Name, peers)
	var err error
	g.log, err = quorum.Open(quorum.Config{
		Group:     name,
		Host:      c.config.Name,
		Hosts:     p.Hosts,
		Folder:    filepath.Join(c.config.Data, p.Name),
		Machine:   machine,
		Transport: g.links,
	})
	if err != nil {
		return nil, err
	}
	g.links.Serve(&c.server.Router, g.log)
	return g, nil
}

// run takes part in the group until the context ends or the disk fails.
func (g *group) run(ctx context.Context) error {
	work, ctx := errgroup.WithContext(ctx)
	work.Go(func() error { return g.log.Run(ctx) })
	work.Go(func() error { return g.links.Run(ctx) })
	return work.Wait()
}

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

// roleOf names what the member is in its group. A member without a vote is
// joining: the group does not count on it yet.
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
