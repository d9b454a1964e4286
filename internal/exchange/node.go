package exchange

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// heartbeatInterval is the time after which an idle link is used.
	heartbeatInterval = time.Second
	// changesOnlyHeartbeat is the same for a link that carries changes only. Its
	// heartbeats compare the changes at both ends and show the peer that a
	// control host reaches it. They do not affect the standing of a host.
	changesOnlyHeartbeat = time.Second
	// maxChangesOnlyCalls is the number of requests that may be in flight over a
	// link that carries changes only. On large deployments a change comes every
	// quarter of a second, and an answer takes up to a second.
	maxChangesOnlyCalls = 4
	// recheckPause is the time after which digests that differed are compared
	// again.
	recheckPause = 250 * time.Millisecond
	// minBatchPause is the least time between two requests over a link, so that
	// records that arrive together are sent together.
	minBatchPause = 20 * time.Millisecond
	// maxBatchPause is the least time between two requests of a host that has
	// spent its saved bytes.
	maxBatchPause = 500 * time.Millisecond
	// retryPause is the longest pause after a failed request.
	retryPause = 200 * time.Millisecond
	// reofferPause is the time after which a record is offered again to a peer
	// that expects it from another host, and after which a request that the
	// budget held back is tried again.
	reofferPause = 250 * time.Millisecond
	// offerStagger is the time between the offers of a long record over
	// different links. It grows with each staggerBytes of the record's length, up
	// to maxStagger.
	offerStagger = 40 * time.Millisecond
	staggerBytes = 4 << 10
	maxStagger   = time.Second
	// expectationTTL is the time for which a requested record is not requested
	// from another peer.
	expectationTTL = 600 * time.Millisecond
	// expectationSweepSize is the number of expectations from which expired ones
	// are dropped.
	expectationSweepSize = 4096
	// maxPushBytes is the length up to which a record is sent without an offer.
	maxPushBytes = 384
	// maxRequestBytes bounds the length of the records of one request before
	// compression.
	maxRequestBytes = 32 << 10
	// summaryPause is the least time between two requests over a link that carry
	// summaries only.
	summaryPause = 750 * time.Millisecond
	// summaryFanout is the number of links over which a summary is passed on.
	summaryFanout = 2
	// failuresToClear is the number of failures in a row after which a link's
	// outbox is cleared. Comparing digests finds what is missing once the peer is
	// back.
	failuresToClear = 5
)

// Peer is the host at the other end of a link.
type Peer struct {
	Name    mustardramp.HostName
	Address netip.AddrPort
	Place   mustardramp.Place
	// Control is set for control hosts, and Bridge for hosts of other regions.
	Control bool
	Bridge  bool
	// Direct is set for a host to which changes are sent at once and in full.
	Direct bool
	// ChangesOnly is set for a direct host with which no other records are
	// exchanged.
	ChangesOnly bool
}

// Send is a request to be made to a peer. Its result must be passed to
// HandleResponse or HandleFailure.
type Send struct {
	To      Peer
	Request *Request
}

// Node decides what a host sends to its peers. It has no clock and does no I/O,
// and its methods must be called by one goroutine at a time.
type Node struct {
	name   mustardramp.HostName
	random *rand.Rand
	budget *budget
	store  store
	packer packer
	// links holds the peers that this host calls.
	links map[mustardramp.HostName]*peerLink
	// order lists the names of the links in ascending order, so that decisions
	// are repeatable.
	order    []mustardramp.HostName
	expected map[recordRef]expectation
	copies   map[recordRef]copies
	// nextKind is the index in fetchOrder of the kind that is fetched next. In a
	// large fleet some kind differs nearly all the time, and must not keep the
	// others from being fetched.
	nextKind int
	// catchUps lists the catch-ups that began since the last call of CatchUps.
	catchUps []CatchUp
	// comparer is the link that compares digests in full, or nil. Only one link
	// does so at a time, so that nothing is fetched twice.
	comparer *peerLink
	ready    readiness
}

// expectation is a record that this host has asked a peer for.
type expectation struct {
	version mustardramp.Version
	until   time.Time
}

// peerLink is the state of the link to one peer.
type peerLink struct {
	peer   Peer
	outbox outbox
	// inFlight is the number of requests without a result so far, at most
	// maxCalls.
	inFlight int
	// changesAt, statementsAt and summariesAt are the earliest times of the next
	// request that carries changes, statements, or nothing but summaries.
	// heartbeatAt is when a request is due even if it carries no records.
	changesAt    time.Time
	statementsAt time.Time
	summariesAt  time.Time
	heartbeatAt  time.Time
	// failures counts failed requests in a row.
	failures int
	// mismatches counts for each kind how often in a row the digests differed.
	mismatches [comparedKinds]int
	// fetch is the next range to fetch, or nil.
	fetch *Fetch
	// isNew is set until the first response, so that the link compares digests
	// in full.
	isNew bool
}

// NewNode returns a node with an empty store. A rate of 0 bytes per second stands
// for DefaultRate.
func NewNode(name mustardramp.HostName, seed uint64, bytesPerSecond mustardramp.Bytes) *Node {
	return &Node{
		name:     name,
		random:   rand.New(rand.NewPCG(seed, seed)),
		budget:   newBudget(bytesPerSecond),
		links:    make(map[mustardramp.HostName]*peerLink),
		expected: make(map[recordRef]expectation),
		copies:   make(map[recordRef]copies),
	}
}

// SetLinks replaces the peers that this host calls.
func (n *Node) SetLinks(now time.Time, peers []Peer) {
	keep := make(map[mustardramp.HostName]bool, len(peers))
	for _, p := range peers {
		keep[p.Name] = true
		if l, ok := n.links[p.Name]; ok && l.peer.Address == p.Address {
			l.update(now, p)
			continue
		}
		n.releaseComparer(n.links[p.Name])
		n.links[p.Name] = newPeerLink(now, p)
	}
	n.order = n.order[:0]
	for name := range n.links {
		if !keep[name] {
			n.releaseComparer(n.links[name])
			delete(n.links, name)
			continue
		}
		n.order = append(n.order, name)
	}
	slices.Sort(n.order)
}

// update replaces the peer's attributes. The outbox of the link stays.
func (l *peerLink) update(now time.Time, p Peer) {
	if l.peer.ChangesOnly && !p.ChangesOnly {
		l.heartbeatAt, l.isNew = now, true
	}
	l.peer = p
}

// maxCalls returns the number of requests that may be in flight. It is greater for
// a link that carries changes only, so that on a busy link a change does not wait
// for the answer to an older one.
func (l *peerLink) maxCalls() int {
	if l.peer.ChangesOnly {
		return maxChangesOnlyCalls
	}
	return 1
}

func newPeerLink(now time.Time, p Peer) *peerLink {
	l := &peerLink{peer: p, statementsAt: now, heartbeatAt: now, isNew: true}
	if p.ChangesOnly {
		// The heartbeats of this link compare changes only. Before the first one, a
		// started host has asked for the changes itself, and the nearest control host
		// has become known.
		l.heartbeatAt, l.isNew = now.Add(changesOnlyHeartbeat), false
	}
	return l
}

// Offer merges records made at this host. It returns the accepted records.
func (n *Node) Offer(now time.Time, records ...mustardramp.Record) []mustardramp.Record {
	return n.merge(now, "", records)
}

// Forget drops a record that is no longer needed. Its version and older ones are
// not accepted again for a time.
func (n *Node) Forget(now time.Time, kind mustardramp.RecordKind, key string) {
	n.store.forget(now, refOf(mustardramp.Record{Kind: kind, Key: key}))
}

// merge stores the records that are newer than those held, and queues them for all
// links except the one that they came over. It returns these accepted records.
func (n *Node) merge(now time.Time, from mustardramp.HostName, records []mustardramp.Record) []mustardramp.Record {
	var accepted []mustardramp.Record
	for _, r := range records {
		ref := refOf(r)
		if n.store.merge(r) {
			accepted = append(accepted, r)
			n.enqueue(now, from, ref)
		}
		if l := n.links[from]; l != nil && !n.store.version(ref).After(r.Version) {
			l.outbox.remove(ref)
		}
		if expected, ok := n.expected[ref]; ok && !expected.version.After(n.store.version(ref)) {
			delete(n.expected, ref)
		}
	}
	slices.SortFunc(accepted, compareRecords)
	return accepted
}

// enqueue queues a record for the links that pass it on. A long record is offered
// over one link after the other. By the time of a later offer most peers hold it
// already, so that its source does not send a copy over each link.
func (n *Node) enqueue(now time.Time, from mustardramp.HostName, ref recordRef) {
	r, _ := n.store.get(ref)
	if ref.kind >= comparedKinds {
		n.enqueueSummary(from, ref)
		return
	}
	var pause time.Duration
	if !isPushed(r) {
		pause = stagger(recordBytes(r))
	}
	picked := 0
	for _, l := range n.shuffledLinks() {
		switch {
		case l.peer.Name == from:
		case l.peer.Direct && ref.kind == mustardramp.RecordChange:
			l.outbox.put(ref, outboxItem{due: now, wanted: true})
		case !l.peer.ChangesOnly:
			l.outbox.put(ref, outboxItem{due: now.Add(time.Duration(picked) * pause)})
			picked++
		}
	}
}

// enqueueSummary queues a summary for some random links. A newer version takes the
// place in the queue of the one that it replaces.
func (n *Node) enqueueSummary(from mustardramp.HostName, ref recordRef) {
	picked := 0
	for _, i := range n.random.Perm(len(n.order)) {
		if name := n.order[i]; name != from && picked < summaryFanout && !n.links[name].peer.ChangesOnly {
			n.links[name].outbox.put(ref, outboxItem{})
			picked++
		}
	}
}

// shuffledLinks returns the links in a random order, those to other regions first,
// because few hosts hold one.
func (n *Node) shuffledLinks() []*peerLink {
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

// isPushed reports whether a record is sent without an offer. Short records are,
// and summaries, which would be outdated by the time of the answer.
func isPushed(r mustardramp.Record) bool {
	return r.Kind >= comparedKinds || recordBytes(r) <= maxPushBytes
}

// stagger returns the time between the offers of a record over different links.
func stagger(length int) time.Duration {
	return min(maxStagger, offerStagger*time.Duration(1+length/staggerBytes))
}

// Poll returns the requests to make now, and when to call Poll again if nothing
// happens before.
func (n *Node) Poll(now time.Time) ([]Send, time.Time) {
	var sends []Send
	next := now.Add(heartbeatInterval)
	for _, name := range n.order {
		l := n.links[name]
		if l.inFlight >= l.maxCalls() {
			continue
		}
		if due := l.due(); due.After(now) {
			next = earlier(next, due)
			continue
		}
		if r := n.buildRequest(now, l); r != nil {
			l.inFlight++
			sends = append(sends, Send{To: l.peer, Request: r})
			continue
		}
		// The budget does not allow any of the queued records now.
		l.statementsAt = now.Add(reofferPause)
		l.changesAt, l.summariesAt = l.statementsAt, l.statementsAt
		next = earlier(next, l.statementsAt)
	}
	return sends, next
}

// due returns the time of the link's next request.
func (l *peerLink) due() time.Time {
	if l.fetch != nil {
		return l.changesAt
	}
	due := later(l.heartbeatAt, l.statementsAt)
	if first, ok := l.outbox.nextDue(); ok {
		due = earlier(due, later(first, l.allowedAt()))
	}
	return due
}

// allowedAt returns the earliest time of a request that carries what is queued.
func (l *peerLink) allowedAt() time.Time {
	switch {
	case l.outbox.contains(mustardramp.RecordChange):
		return l.changesAt
	case l.outbox.contains(mustardramp.RecordBackend) || l.outbox.contains(mustardramp.RecordHost):
		return l.statementsAt
	default:
		return l.summariesAt
	}
}

// buildRequest returns the next request for the link, or nil if the request would
// carry nothing and no heartbeat is due.
func (n *Node) buildRequest(now time.Time, l *peerLink) *Request {
	r := &Request{From: n.name, Ready: n.ready.isReady, Digests: n.Digests(), Fetch: l.fetch, Age: n.confirmationAge(now)}
	heartbeatDue := !l.heartbeatAt.After(now)
	if l.peer.ChangesOnly {
		r.Compare = heartbeatDue && l.mismatches[mustardramp.RecordChange] > 0
	} else if n.comparer == nil && heartbeatDue && l.needsCompare() {
		r.Compare = true
		n.comparer = l
	}
	n.fillRequest(now, l, r)
	if len(r.sent) == 0 && r.Fetch == nil && !heartbeatDue {
		return nil
	}
	l.fetch = nil
	n.budget.forceSpend(now, (&Request{Fetch: r.Fetch}).size())
	return r
}

// releaseComparer lets another link compare digests in full.
func (n *Node) releaseComparer(l *peerLink) {
	if l != nil && n.comparer == l {
		n.comparer = nil
	}
}

// needsCompare reports whether the digests should be compared in full.
func (l *peerLink) needsCompare() bool {
	if l.isNew {
		return true
	}
	for _, count := range l.mismatches {
		if count > 1 {
			return true
		}
	}
	return false
}

// fillRequest moves records from the link's outbox to the request as far as the
// budget allows.
func (n *Node) fillRequest(now time.Time, l *peerLink, r *Request) {
	batch := n.newBatch(now)
	l.outbox.eachDue(now, func(ref recordRef, item outboxItem) bool {
		record, held := n.store.get(ref)
		if !held {
			l.outbox.remove(ref)
			return true
		}
		if !isPushed(record) && !item.wanted {
			if !batch.reserve(ref.kind, recordHeaderBytes, 1) {
				return false
			}
			r.Offers = append(r.Offers, RecordHeader{Kind: ref.kind, ID: ref.id, Version: record.Version})
		} else if batch.reserve(ref.kind, recordBytes(record), n.packer.expectedRatio()) {
			batch.records = append(batch.records, record)
			r.pushed = append(r.pushed, RecordHeader{Kind: ref.kind, ID: ref.id, Version: record.Version})
		} else {
			return false
		}
		r.sent = append(r.sent, ref)
		l.outbox.remove(ref)
		return true
	})
	if len(batch.records) > 0 {
		packed, err := n.packer.pack(batch.records)
		if err != nil {
			return
		}
		r.Records = packed
	}
	batch.charge(now, n.budget, len(r.Records)+recordHeaderBytes*len(r.Offers))
}

// batch collects the records of one request.
type batch struct {
	records []mustardramp.Record
	// size is the length before compression, and summarySize the summaries' part
	// of it.
	size        int
	summarySize int
	// updateBytes and summaryBytes are the bytes on the wire that the budget
	// still allows for updates and for summaries.
	updateBytes  float64
	summaryBytes float64
}

func (n *Node) newBatch(now time.Time) *batch {
	return &batch{updateBytes: n.budget.availableForUpdates(now), summaryBytes: n.budget.availableForSummaries(now)}
}

// reserve reports whether the batch has room for another record, and takes that
// room. The ratio is the expected length after compression divided by the length
// before.
func (b *batch) reserve(kind mustardramp.RecordKind, length int, ratio float64) bool {
	if b.size > 0 && b.size+length > maxRequestBytes {
		return false
	}
	cost := float64(length) * ratio * base64Expansion
	available := &b.updateBytes
	if kind >= comparedKinds {
		available = &b.summaryBytes
	}
	if cost > *available {
		return false
	}
	*available -= cost
	b.size += length
	if kind >= comparedKinds {
		b.summarySize += length
	}
	return true
}

// charge charges the budget with the length of the batch on the wire.
func (b *batch) charge(now time.Time, budget *budget, packed int) {
	if b.size == 0 {
		return
	}
	cost := float64(packed) * base64Expansion
	summaries := cost * float64(b.summarySize) / float64(b.size)
	budget.spendUpdates(now, int(cost-summaries))
	budget.spendSummaries(now, int(summaries))
}

// recordBytes returns the approximate length of a record in a message.
func recordBytes(r mustardramp.Record) int {
	return len(r.Key) + len(r.Payload) + recordHeaderBytes
}

// Digests returns the digests of the compared kinds.
func (n *Node) Digests() Digests {
	var d Digests
	for k := range d {
		d[k] = n.store.kinds[k].totalDigest
	}
	return d
}

// Newest returns the newest index of a change that the host holds.
func (n *Node) Newest() mustardramp.Index {
	return mustardramp.Index(n.store.kinds[mustardramp.RecordChange].newest)
}

// Records returns a kind's records, oldest version first.
func (n *Node) Records(kind mustardramp.RecordKind) []mustardramp.Record {
	return n.store.list(kind)
}

// IsShortOfBudget reports whether too little of the budget is left for the pages
// of a catch-up.
func (n *Node) IsShortOfBudget(now time.Time) bool {
	return n.budget.pageBytes(now) < minPageBytes
}

// UndecodableCount returns the number of records of peers that could not be decoded.
func (n *Node) UndecodableCount() int {
	return n.packer.undecodableCount
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
