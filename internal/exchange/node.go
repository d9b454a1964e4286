package exchange

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// heartbeat is the pause after which an idle link is used.
	heartbeat = time.Second
	// feedHeartbeat is that of a link that carries changes only: it compares the
	// changes at both ends and shows the fed host that control reaches it. No host
	// is judged by it.
	feedHeartbeat = time.Second
	// feedCalls is the number of changes that may be under way to one fed host: on
	// the grown deployments changes come every quarter of a second, and an answer
	// takes up to a second.
	feedCalls = 4
	// recheck is the pause after which digests that differed are compared.
	recheck = 250 * time.Millisecond
	// batchPause is the least time between two requests over a link, so that
	// news that arrives together travels together.
	batchPause = 20 * time.Millisecond
	// longBatchPause is the pause of a host that has spent its saved bytes.
	longBatchPause = 500 * time.Millisecond
	// retryPause is the pause after a failed request.
	retryPause = 200 * time.Millisecond
	// offerPause is the pause before a record is offered again to a peer that
	// expects it from elsewhere.
	offerPause = 250 * time.Millisecond
	// offerStagger is the pause between the links over which a long record is
	// offered; it grows with each staggerBytes up to maxStagger.
	offerStagger = 40 * time.Millisecond
	staggerBytes = 4 << 10
	maxStagger   = time.Second
	// expectTime is for how long an asked-for record is not asked for again.
	expectTime = 600 * time.Millisecond
	// expectLimit is the number of expectations from which old ones are dropped.
	expectLimit = 4096
	// pushBytes is the length up to which a record is sent unasked.
	pushBytes = 384
	// requestBytes bounds the payloads of one request.
	requestBytes = 32 << 10
	// summaryPause is the least time between two requests over a link that carry
	// summaries only.
	summaryPause = 750 * time.Millisecond
	// summaryLinks is the number of links over which a summary is passed on.
	summaryLinks = 2
	// failuresToClear is the number of failures in a row after which a link's
	// list is dropped: digests find the rest when the peer is back.
	failuresToClear = 5
)

// Peer is a host to which a link leads.
type Peer struct {
	Name    mustardramp.HostName
	Address netip.AddrPort
	Place   mustardramp.Place
	// Control is set for control hosts, Bridge for those of other regions.
	Control bool
	Bridge  bool
	// Fed is set for a host to which changes are sent at once and in full.
	Fed bool
	// Only is set for a fed host that no other records are exchanged with.
	Only bool
}

// Send is a request to be made to a peer. Each ends with Done or Failed.
type Send struct {
	To      Peer
	Request *Request
}

// Node decides what a host sends to its peers. It is a pure state: it has no
// clock and does no I/O, and its methods are called by one goroutine at a time.
type Node struct {
	name   mustardramp.HostName
	random *rand.Rand
	budget *budget
	store  store
	packer packer
	// links holds the peers that this host calls.
	links map[mustardramp.HostName]*peerLink
	// order lists the links' names, sorted, so that decisions are repeatable.
	order    []mustardramp.HostName
	expected map[ref]expectation
	copies   map[ref]copies
	// turn is the place in fetchOrder of the kind that is fetched next. Some kind
	// differs at nearly all times in a large fleet; it does not keep the others from
	// being fetched.
	turn int
	// caughtUp lists the catch-ups begun since CatchUps was called.
	caughtUp []CatchUp
	// fetcher is the link that compares digests in full, or nil: one link does
	// so at a time, so that nothing is fetched twice.
	fetcher *peerLink
	ready   readiness
}

// expectation is a record that a peer was asked for.
type expectation struct {
	version mustardramp.Version
	until   time.Time
}

// peerLink is the state of the link to one peer.
type peerLink struct {
	peer Peer
	out  outbox
	// calls is the number of requests under way: at most one, and at most
	// feedCalls where the link carries changes only.
	calls int
	// soon is when the next request may be made for changes, at when it may be
	// made for statements, calm when it may be made for summaries, idle when it
	// must be made.
	soon time.Time
	at   time.Time
	calm time.Time
	idle time.Time
	// failures counts failed requests in a row.
	failures int
	// differs counts, by kind, how often in a row the digests differed.
	differs [comparedKinds]int
	// fetch is the next range to ask for, or nil.
	fetch *Fetch
	// fresh is set until the first response.
	fresh bool
}

// NewNode returns a node with an empty store. A rate of 0 is DefaultRate.
func NewNode(name mustardramp.HostName, seed uint64, bytesPerSecond mustardramp.Bytes) *Node {
	return &Node{
		name:     name,
		random:   rand.New(rand.NewPCG(seed, seed)),
		budget:   newBudget(bytesPerSecond),
		links:    make(map[mustardramp.HostName]*peerLink),
		expected: make(map[ref]expectation),
		copies:   make(map[ref]copies),
	}
}

// SetLinks replaces the peers that this host calls.
func (n *Node) SetLinks(now time.Time, peers []Peer) {
	keep := make(map[mustardramp.HostName]bool, len(peers))
	for _, p := range peers {
		keep[p.Name] = true
		if l, ok := n.links[p.Name]; ok && l.peer.Address == p.Address {
			l.become(now, p)
			continue
		}
		n.release(n.links[p.Name])
		n.links[p.Name] = newPeerLink(now, p)
	}
	n.order = n.order[:0]
	for name := range n.links {
		if !keep[name] {
			n.release(n.links[name])
			delete(n.links, name)
			continue
		}
		n.order = append(n.order, name)
	}
	slices.Sort(n.order)
}

// become takes over what the link is for. What it has still to send stays.
func (l *peerLink) become(now time.Time, p Peer) {
	if l.peer.Only && !p.Only {
		l.idle, l.fresh = now, true
	}
	l.peer = p
}

// mostCalls is the number of requests that may be under way. A change does not
// wait for the answer to an older one on a busy link.
func (l *peerLink) mostCalls() int {
	if l.peer.Only {
		return feedCalls
	}
	return 1
}

func newPeerLink(now time.Time, p Peer) *peerLink {
	l := &peerLink{peer: p, at: now, idle: now, fresh: true}
	if p.Only {
		// Its heartbeats compare changes alone. Until the first one a started host has
		// asked for them itself, and the nearest control host is known.
		l.idle, l.fresh = now.Add(feedHeartbeat), false
	}
	return l
}

// Offer merges records made at this host. It returns those that are news.
func (n *Node) Offer(now time.Time, records ...mustardramp.Record) []mustardramp.Record {
	return n.merge(now, "", records)
}

// Forget drops a record that is no longer needed. Its version and older ones
// are not taken in again for a time.
func (n *Node) Forget(now time.Time, kind mustardramp.RecordKind, key string) {
	n.store.forget(now, refOf(mustardramp.Record{Kind: kind, Key: key}))
}

// merge keeps the newer records and lists them for the links, except the one
// that they came over.
func (n *Node) merge(now time.Time, from mustardramp.HostName, records []mustardramp.Record) []mustardramp.Record {
	var news []mustardramp.Record
	for _, r := range records {
		at := refOf(r)
		if n.store.merge(r) {
			news = append(news, r)
			n.spread(now, from, at)
		}
		if l := n.links[from]; l != nil && !n.store.version(at).After(r.Version) {
			l.out.remove(at)
		}
		if e, ok := n.expected[at]; ok && !e.version.After(n.store.version(at)) {
			delete(n.expected, at)
		}
	}
	slices.SortFunc(news, compareRecords)
	return news
}

// spread lists a record for the links that pass it on. A long one is offered
// over one link after the other: most peers then have it from elsewhere, so that
// its source need not send a copy over each link.
func (n *Node) spread(now time.Time, from mustardramp.HostName, at ref) {
	r, _ := n.store.get(at)
	if at.kind >= comparedKinds {
		n.spreadSummary(from, at)
		return
	}
	var pause time.Duration
	if !unasked(r) {
		pause = stagger(recordBytes(r))
	}
	picked := 0
	for _, l := range n.shuffled() {
		switch {
		case l.peer.Name == from:
		case l.peer.Fed && at.kind == mustardramp.RecordChange:
			l.out.put(at, outItem{due: now, wanted: true})
		case !l.peer.Only:
			l.out.put(at, outItem{due: now.Add(time.Duration(picked) * pause)})
			picked++
		}
	}
}

// spreadSummary lists a summary for some links. A newer one takes the place in
// the line of the one that it replaces.
func (n *Node) spreadSummary(from mustardramp.HostName, at ref) {
	picked := 0
	for _, i := range n.random.Perm(len(n.order)) {
		if name := n.order[i]; name != from && picked < summaryLinks && !n.links[name].peer.Only {
			n.links[name].out.put(at, outItem{})
			picked++
		}
	}
}

// shuffled returns the links in a random order, those to other regions first:
// few hosts hold one.
func (n *Node) shuffled() []*peerLink {
	links := make([]*peerLink, 0, len(n.order))
	for _, i := range n.random.Perm(len(n.order)) {
		links = append(links, n.links[n.order[i]])
	}
	slices.SortStableFunc(links, func(a, b *peerLink) int {
		switch {
		case a.peer.Bridge == b.peer.Bridge:
			return 0
		case a.peer.Bridge:
			return -1
		default:
			return 1
		}
	})
	return links
}

// unasked reports whether a record is sent without an offer: a short one or a
// summary, which would be outdated by the answer.
func unasked(r mustardramp.Record) bool {
	return r.Kind >= comparedKinds || recordBytes(r) <= pushBytes
}

// stagger returns the pause between the links over which a record is offered.
func stagger(length int) time.Duration {
	return min(maxStagger, offerStagger*time.Duration(1+length/staggerBytes))
}

// Poll returns the requests to make now, and when to poll again if nothing
// happens before.
func (n *Node) Poll(now time.Time) ([]Send, time.Time) {
	var sends []Send
	next := now.Add(heartbeat)
	for _, name := range n.order {
		l := n.links[name]
		if l.calls >= l.mostCalls() {
			continue
		}
		if due := l.due(); due.After(now) {
			next = earlier(next, due)
			continue
		}
		if r := n.request(now, l); r != nil {
			l.calls++
			sends = append(sends, Send{To: l.peer, Request: r})
			continue
		}
		// The budget holds the news back.
		l.at = now.Add(offerPause)
		l.soon, l.calm = l.at, l.at
		next = earlier(next, l.at)
	}
	return sends, next
}

// due returns when the link has something to send.
func (l *peerLink) due() time.Time {
	if l.fetch != nil {
		return l.soon
	}
	due := later(l.idle, l.at)
	if first, ok := l.out.next(); ok {
		due = earlier(due, later(first, l.open()))
	}
	return due
}

// open returns when the next request may be made for what is listed.
func (l *peerLink) open() time.Time {
	switch {
	case l.out.holds(mustardramp.RecordChange):
		return l.soon
	case l.out.holds(mustardramp.RecordBackend) || l.out.holds(mustardramp.RecordHost):
		return l.at
	default:
		return l.calm
	}
}

// request fills a request for the link, or returns nil when it would carry
// nothing.
func (n *Node) request(now time.Time, l *peerLink) *Request {
	r := &Request{From: n.name, Ready: n.ready.is, Sums: n.Sums(), Fetch: l.fetch}
	heartbeatDue := !l.idle.After(now)
	if l.peer.Only {
		r.Compare = heartbeatDue && l.differs[mustardramp.RecordChange] > 0
	} else if n.fetcher == nil && heartbeatDue && l.suspicious() {
		r.Compare = true
		n.fetcher = l
	}
	n.fill(now, l, r)
	if len(r.sent) == 0 && r.Fetch == nil && !heartbeatDue {
		return nil
	}
	l.fetch = nil
	n.budget.force(now, (&Request{Fetch: r.Fetch}).size())
	return r
}

// release lets another link compare digests.
func (n *Node) release(l *peerLink) {
	if l != nil && n.fetcher == l {
		n.fetcher = nil
	}
}

// suspicious reports whether the digests should be compared in full.
func (l *peerLink) suspicious() bool {
	if l.fresh {
		return true
	}
	for _, times := range l.differs {
		if times > 1 {
			return true
		}
	}
	return false
}

// fill moves records from the link's list to the request as the budget allows.
func (n *Node) fill(now time.Time, l *peerLink, r *Request) {
	load := n.newLoad(now)
	l.out.each(now, func(at ref, item outItem) bool {
		record, held := n.store.get(at)
		if !held {
			l.out.remove(at)
			return true
		}
		if !unasked(record) && !item.wanted {
			if !load.take(at.kind, stubBytes, 1) {
				return false
			}
			r.Have = append(r.Have, Stub{Kind: at.kind, ID: at.id, Version: record.Version})
		} else if load.take(at.kind, recordBytes(record), n.packer.ratio()) {
			load.news = append(load.news, record)
			r.pushed = append(r.pushed, Stub{Kind: at.kind, ID: at.id, Version: record.Version})
		} else {
			return false
		}
		r.sent = append(r.sent, at)
		l.out.remove(at)
		return true
	})
	if len(load.news) > 0 {
		packed, err := n.packer.pack(load.news)
		if err != nil {
			return
		}
		r.News = packed
	}
	load.spend(now, n.budget, len(r.News)+stubBytes*len(r.Have))
}

// load collects what one request carries.
type load struct {
	news []mustardramp.Record
	// size is the length before compression, summaries the part of it that
	// summaries have.
	size      int
	summaries int
	// left and leftForSummaries are the bytes on the wire that the budget
	// still allows.
	left             float64
	leftForSummaries float64
}

func (n *Node) newLoad(now time.Time) *load {
	return &load{left: n.budget.forNews(now), leftForSummaries: n.budget.forSummaries(now)}
}

// take reports whether the load may have another record, of which a share is
// expected to remain after compression.
func (l *load) take(kind mustardramp.RecordKind, length int, ratio float64) bool {
	if l.size > 0 && l.size+length > requestBytes {
		return false
	}
	cost := float64(length) * ratio * wirePerByte
	left := &l.left
	if kind >= comparedKinds {
		left = &l.leftForSummaries
	}
	if cost > *left {
		return false
	}
	*left -= cost
	l.size += length
	if kind >= comparedKinds {
		l.summaries += length
	}
	return true
}

// spend charges the budget with the bytes that the load has on the wire.
func (l *load) spend(now time.Time, b *budget, packed int) {
	if l.size == 0 {
		return
	}
	cost := float64(packed) * wirePerByte
	summaries := cost * float64(l.summaries) / float64(l.size)
	b.spendNews(now, int(cost-summaries))
	b.spendSummaries(now, int(summaries))
}

// recordBytes returns about the length of a record in a message.
func recordBytes(r mustardramp.Record) int {
	return len(r.Key) + len(r.Payload) + stubBytes
}

// Sums returns the digests of the compared kinds.
func (n *Node) Sums() Sums {
	var s Sums
	for k := range s {
		s[k] = n.store.kinds[k].sum
	}
	return s
}

// Newest returns the newest index of a change that the host holds.
func (n *Node) Newest() mustardramp.Index {
	return mustardramp.Index(n.store.kinds[mustardramp.RecordChange].newest)
}

// Records returns a kind's records, oldest version first.
func (n *Node) Records(kind mustardramp.RecordKind) []mustardramp.Record {
	return n.store.list(kind)
}

// IsShort reports whether too little of the budget is left for the pages of a
// catch-up.
func (n *Node) IsShort(now time.Time) bool {
	return n.budget.pageBytes(now) < leastPage
}

// Spent returns the bytes that the budget has been charged with.
func (n *Node) Spent() mustardramp.Bytes {
	return n.budget.spent
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
