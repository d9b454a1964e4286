package quorum

import (
	"slices"

	"github.com/mustardramp/mustardramp"
)

// helloIntervalTicks is the interval, in ticks, at which a member that looks for a
// group sends its hellos.
const helloIntervalTicks = 4

// bootstrapper brings a blank member into its group. When all listed hosts have
// replied that they are blank, the host with the lowest name bootstraps the group
// with the identities from those replies: a blank member cannot have acknowledged
// anything. As soon as one host is not blank, the member asks to join that host's
// group instead. A host that has lost its disk joins in the same way.
//
// A group with a target number of voters has no fixed list of hosts. It is
// bootstrapped by its seeds, which are the same in the settings of all hosts at
// the first start. All other hosts join it.
type bootstrapper struct {
	self  Member
	hosts []mustardramp.HostName
	// targetVoters is the number of voters that the group grows to, or 0 if the
	// group consists of exactly the listed hosts.
	targetVoters int
	// isFirstStart is set if no host has a disk of an earlier group, so that a
	// group may be bootstrapped.
	isFirstStart bool
	// blankMembers holds the identities of the hosts that replied that they are
	// blank.
	blankMembers map[mustardramp.HostName]Member
	// joinTargets are the members that replied since the last hello that they
	// are not blank. A join request goes to all of them, since only the leader
	// acts on it.
	joinTargets []Member
	// ticksToHello is the number of ticks until the next hello.
	ticksToHello int
}

// hostMessage is a message addressed to a host.
type hostMessage struct {
	host    mustardramp.HostName
	message Message
}

func newBootstrapper(self Member, config *Config) *bootstrapper {
	return &bootstrapper{
		self:         self,
		hosts:        config.Hosts,
		targetVoters: config.TargetVoters,
		isFirstStart: config.TargetVoters == 0 || config.IsFirstStart,
		blankMembers: map[mustardramp.HostName]Member{self.Host: self},
	}
}

// tick bootstraps the group if that is possible. At intervals of helloIntervalTicks
// it returns the hellos and join requests to send. It does nothing for a member with
// log entries, unless that may have to rejoin.
func (b *bootstrapper) tick(c *core) []hostMessage {
	if c.log.lastIndex() > 0 && !b.mayBeRemoved(c) {
		b.ticksToHello = 0
		return nil
	}
	b.tryBootstrap(c)
	b.ticksToHello--
	if b.ticksToHello > 0 {
		return nil
	}
	b.ticksToHello = helloIntervalTicks
	return append(b.helloMessages(c), b.joinRequests()...)
}

// mayBeRemoved reports whether the member has no leader although its log has entries.
// In a group without a fixed list of hosts it may have been removed while it received
// nothing, and only asking tells. A request to join by a host that still is a member
// has no effect.
func (b *bootstrapper) mayBeRemoved(c *core) bool {
	return b.targetVoters > 0 && c.leader == 0
}

// knownHosts returns the hosts of the settings and those of the membership in the
// log, since the seeds may no longer exist.
func (b *bootstrapper) knownHosts(c *core) []mustardramp.HostName {
	hosts := slices.Clone(b.hosts)
	for _, m := range c.membership() {
		if !slices.Contains(hosts, m.Host) {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// helloMessages returns a hello to each other known host.
func (b *bootstrapper) helloMessages(c *core) []hostMessage {
	var messages []hostMessage
	for _, host := range b.knownHosts(c) {
		if host != b.self.Host {
			m := Message{Kind: MessageHello, From: b.self.ID, Sender: &b.self}
			messages = append(messages, hostMessage{host, m})
		}
	}
	return messages
}

// joinRequests returns a join request to each member in joinTargets and clears that
// list.
func (b *bootstrapper) joinRequests() []hostMessage {
	var messages []hostMessage
	for _, member := range b.joinTargets {
		m := Message{
			Kind:   MessageChange,
			From:   b.self.ID,
			To:     member.ID,
			Change: &Change{Add: &b.self},
		}
		messages = append(messages, hostMessage{member.Host, m})
	}
	b.joinTargets = nil
	return messages
}

// handleHello handles a hello or the reply to one and returns the reply to send.
func (b *bootstrapper) handleHello(c *core, m Message) []hostMessage {
	if m.Sender == nil {
		return nil
	}
	if m.Kind == MessageHello && c.isBlank() && !b.isFirstStart {
		// This member can neither bootstrap a group nor point to one.
		return nil
	}
	if m.Kind == MessageHello {
		reply := Message{
			Kind:   MessageHelloReply,
			From:   b.self.ID,
			To:     m.Sender.ID,
			Sender: &b.self,
			Blank:  c.isBlank(),
		}
		return []hostMessage{{m.Sender.Host, reply}}
	}
	if m.To != b.self.ID {
		return nil
	}
	if m.Blank {
		b.blankMembers[m.Sender.Host] = *m.Sender
		return nil
	}
	if !slices.ContainsFunc(b.joinTargets, func(known Member) bool { return known.ID == m.Sender.ID }) {
		b.joinTargets = append(b.joinTargets, *m.Sender)
	}
	return nil
}

// tryBootstrap bootstraps the group once all listed hosts are known to be blank.
// Only the host with the lowest name does so.
func (b *bootstrapper) tryBootstrap(c *core) {
	if !b.isFirstStart || !c.isBlank() || len(b.joinTargets) > 0 || b.self.Host != slices.Min(b.hosts) {
		return
	}
	var membership Membership
	for _, host := range b.hosts {
		member, ok := b.blankMembers[host]
		if !ok {
			return
		}
		member.Voter = true
		membership = membership.with(member)
	}
	c.bootstrap(membership)
}
