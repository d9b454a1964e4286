package quorum

import (
	"slices"

	"github.com/mustardramp/mustardramp"
)

// helloEvery is the time between the questions of a blank member, in ticks.
const helloEvery = 4

// founder brings a blank member into its group. When every host of the list
// has answered that it is blank, the first of them founds the group with the
// identities that they named: none of them can have acknowledged anything. As
// soon as one host is not blank, the member asks to join that host's group
// instead; so does a host that lost its disk.
//
// A group of a given size, whose hosts no list names, is founded by its seeds:
// those that all hosts are told at the first start. Any other host joins it.
type founder struct {
	self  Member
	hosts []mustardramp.HostName
	// size is the number of voters that the group grows to, or 0 when it has
	// all hosts of the list and no others.
	size int
	// first is true when no host has a disk of an earlier group, so that one
	// may be founded.
	first bool
	// lonely counts the ticks without a leader.
	lonely int
	// blank holds the identities of the hosts that answered.
	blank map[mustardramp.HostName]Member
	// members are the hosts that answered since the last question that they are
	// not blank. All of them are asked to join: only the leader acts.
	members []Member
	wait    int
}

// letter is a message to a host.
type letter struct {
	host mustardramp.HostName
	m    Message
}

func newFounder(self Member, config *Config) *founder {
	return &founder{
		self:  self,
		hosts: config.Hosts,
		size:  config.Size,
		first: config.Size == 0 || config.First,
		blank: map[mustardramp.HostName]Member{self.Host: self},
	}
}

// lonelyTicks is the time without a leader after which a member of a group
// without a list asks to join again: it may have been removed unheard.
const lonelyTicks = 60

// tick asks again what is not answered yet.
func (f *founder) tick(c *core) []letter {
	if c.leader != 0 {
		f.lonely = 0
	}
	f.lonely++
	if c.log.last() > 0 && (f.size == 0 || f.lonely < lonelyTicks) {
		return nil
	}
	f.tryFound(c)
	f.wait--
	if f.wait > 0 {
		return nil
	}
	f.wait = helloEvery
	return append(f.hello(c), f.askToJoin()...)
}

// known lists the hosts to ask: those of the settings, and those of the group as
// the log knows it, since seeds may have gone.
func (f *founder) known(c *core) []mustardramp.HostName {
	hosts := slices.Clone(f.hosts)
	for _, m := range c.membership() {
		if !slices.Contains(hosts, m.Host) {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

func (f *founder) hello(c *core) []letter {
	var letters []letter
	for _, host := range f.known(c) {
		if host != f.self.Host {
			m := Message{Kind: MessageHello, From: f.self.ID, Sender: &f.self}
			letters = append(letters, letter{host, m})
		}
	}
	return letters
}

func (f *founder) askToJoin() []letter {
	var letters []letter
	for _, member := range f.members {
		m := Message{
			Kind:   MessageChange,
			From:   f.self.ID,
			To:     member.ID,
			Change: &Change{Add: &f.self},
		}
		letters = append(letters, letter{member.Host, m})
	}
	f.members = nil
	return letters
}

// handle takes in a hello or its answer.
func (f *founder) handle(c *core, m Message) []letter {
	if m.Sender == nil {
		return nil
	}
	if m.Kind == MessageHello && c.isBlank() && !f.first {
		// It can neither found a group nor bring the other into one.
		return nil
	}
	if m.Kind == MessageHello {
		answer := Message{
			Kind:   MessageHelloReply,
			From:   f.self.ID,
			To:     m.Sender.ID,
			Sender: &f.self,
			Blank:  c.isBlank(),
		}
		return []letter{{m.Sender.Host, answer}}
	}
	if m.To != f.self.ID {
		return nil
	}
	if m.Blank {
		f.blank[m.Sender.Host] = *m.Sender
		return nil
	}
	if !slices.ContainsFunc(f.members, func(known Member) bool { return known.ID == m.Sender.ID }) {
		f.members = append(f.members, *m.Sender)
	}
	return nil
}

// tryFound founds the group once all hosts are known to be blank.
func (f *founder) tryFound(c *core) {
	if !f.first || !c.isBlank() || len(f.members) > 0 || f.self.Host != slices.Min(f.hosts) {
		return
	}
	var membership Membership
	for _, host := range f.hosts {
		member, ok := f.blank[host]
		if !ok {
			return
		}
		member.Voter = true
		membership = membership.with(member)
	}
	c.found(membership)
}
