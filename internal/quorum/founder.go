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
type founder struct {
	self  Member
	hosts []mustardramp.HostName
	// blank holds the identities of the hosts that answered.
	blank map[mustardramp.HostName]Member
	// member is a host that is not blank, or nil.
	member *Member
	wait   int
}

// letter is a message to a host.
type letter struct {
	host mustardramp.HostName
	m    Message
}

func newFounder(self Member, hosts []mustardramp.HostName) *founder {
	return &founder{
		self:  self,
		hosts: hosts,
		blank: map[mustardramp.HostName]Member{self.Host: self},
	}
}

// tick asks again what is not answered yet.
func (f *founder) tick(c *core) []letter {
	if c.log.last() > 0 {
		return nil
	}
	f.tryFound(c)
	f.wait--
	if f.wait > 0 {
		return nil
	}
	f.wait = helloEvery
	if f.member != nil {
		return f.askToJoin()
	}
	return f.hello()
}

func (f *founder) hello() []letter {
	var letters []letter
	for _, host := range f.hosts {
		if host != f.self.Host {
			m := Message{Kind: MessageHello, From: f.self.ID, Sender: &f.self}
			letters = append(letters, letter{host, m})
		}
	}
	return letters
}

func (f *founder) askToJoin() []letter {
	m := Message{
		Kind:   MessageChange,
		From:   f.self.ID,
		To:     f.member.ID,
		Change: &Change{Add: &f.self},
	}
	host := f.member.Host
	// The next question finds another host if this one has gone.
	f.member = nil
	return append(f.hello(), letter{host, m})
}

// handle takes in a hello or its answer.
func (f *founder) handle(c *core, m Message) []letter {
	if m.Sender == nil {
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
	f.member = m.Sender
	return nil
}

// tryFound founds the group once all hosts are known to be blank.
func (f *founder) tryFound(c *core) {
	if !c.isBlank() || f.member != nil || f.self.Host != slices.Min(f.hosts) {
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
