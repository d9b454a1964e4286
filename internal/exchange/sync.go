package exchange

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

// HandleRequest merges the records of a peer's request. It returns the response
// and the accepted records.
func (n *Node) HandleRequest(now time.Time, r *Request) (*Response, []mustardramp.Record, error) {
	records, err := n.packer.unpack(r.Records)
	if err != nil {
		return nil, nil, err
	}
	accepted := n.merge(now, r.From, records)
	resp := &Response{Ready: n.ready.isReady, Age: n.confirmationAge(now), Replies: n.replies(now, r)}
	if r.Fetch != nil {
		resp.Page, err = n.page(now, r.Fetch)
		if err != nil {
			return nil, accepted, err
		}
	}
	resp.Digests = n.Digests()
	resp.Newest = n.Newest()
	if r.Compare {
		resp.Buckets = n.differingBuckets(r.Digests)
	}
	n.budget.forceSpend(now, resp.size())
	return resp, accepted, nil
}

// replies returns the reply to each offered record.
func (n *Node) replies(now time.Time, r *Request) []Reply {
	out := make([]Reply, len(r.Offers))
	for i, header := range r.Offers {
		out[i] = n.reply(now, header)
	}
	return out
}

// reply decides whether an offered record is wanted, and remembers that it was
// asked for.
func (n *Node) reply(now time.Time, header RecordHeader) Reply {
	ref := header.ref()
	if ref.kind >= mustardramp.RecordKindCount || !header.Version.After(n.store.version(ref)) {
		return ReplyKnown
	}
	expected, asked := n.expected[ref]
	if asked && now.Before(expected.until) && !header.Version.After(expected.version) {
		return ReplyLater
	}
	if len(n.expected) >= expectationSweepSize {
		n.dropExpired(now)
	}
	n.expected[ref] = expectation{header.Version, now.Add(expectationTTL)}
	return ReplyWanted
}

// dropExpired drops the expectations whose time has passed.
func (n *Node) dropExpired(now time.Time) {
	for ref, expected := range n.expected {
		if now.After(expected.until) {
			delete(n.expected, ref)
		}
	}
}

// differingBuckets returns the bucket digests of the kinds whose digests differ
// from the peer's, or nil.
func (n *Node) differingBuckets(theirs Digests) map[mustardramp.RecordKind][]uint64 {
	var out map[mustardramp.RecordKind][]uint64
	for k, mine := range n.Digests() {
		if mine == theirs[k] {
			continue
		}
		if out == nil {
			out = make(map[mustardramp.RecordKind][]uint64)
		}
		digests := n.store.kinds[k].bucketDigests
		out[mustardramp.RecordKind(k)] = digests[:]
	}
	return out
}

// HandleResponse merges the response to a request. It returns the accepted
// records.
func (n *Node) HandleResponse(now time.Time, to mustardramp.HostName, r *Request, resp *Response) ([]mustardramp.Record, error) {
	l := n.links[to]
	if l == nil {
		return nil, nil
	}
	l.inFlight, l.failures = max(0, l.inFlight-1), 0
	l.changesAt, l.statementsAt = now.Add(minBatchPause), now.Add(n.budget.requestPause(now))
	l.summariesAt = later(l.statementsAt, now.Add(summaryPause))
	l.heartbeatAt = now.Add(n.jitter(l.heartbeatInterval()))
	for i, header := range r.Offers {
		if i < len(resp.Replies) {
			n.handleReply(now, l, header, resp.Replies[i])
		}
	}
	for _, header := range r.pushed {
		n.noteCopy(l, header.ref(), header.Version)
	}
	accepted, err := n.mergePage(now, l, r.Fetch, resp.Page)
	if err != nil {
		return nil, err
	}
	if l.peer.ChangesOnly {
		n.reconcile(now, l, r, resp)
		return accepted, nil
	}
	n.compareDigests(now, l, r, resp)
	l.isNew = false
	if l.fetch == nil {
		n.releaseComparer(l)
	}
	n.ready.observe(to, resp.Ready, n.holdsChangesOf(resp.Digests))
	return accepted, nil
}

// handleReply acts on a reply to an offered record.
func (n *Node) handleReply(now time.Time, l *peerLink, header RecordHeader, reply Reply) {
	switch reply {
	case ReplyWanted:
		l.outbox.put(header.ref(), outboxItem{wanted: true})
	case ReplyLater:
		l.outbox.put(header.ref(), outboxItem{due: now.Add(reofferPause)})
	case ReplyKnown:
		n.noteCopy(l, header.ref(), header.Version)
	}
}

// reconcile queues the changes that the peer of a changes-only link lacks: those
// committed before the link was opened, and those that the link lost.
func (n *Node) reconcile(now time.Time, l *peerLink, r *Request, resp *Response) {
	const kind = mustardramp.RecordChange
	if n.Digests()[kind] == resp.Digests[kind] {
		l.mismatches[kind] = 0
		return
	}
	if l.inFlight > 0 || l.outbox.contains(kind) {
		// The missing changes may be on their way.
		return
	}
	if !r.Compare {
		l.mismatches[kind]++
		l.heartbeatAt = earlier(l.heartbeatAt, now.Add(recheckPause))
		return
	}
	l.mismatches[kind] = 0
	for _, id := range n.store.ids(kind, n.differingMask(kind, resp.Buckets[kind]), 0, true) {
		l.outbox.put(recordRef{kind, id}, outboxItem{due: now, wanted: true})
	}
}

// fetchOrder is the order in which kinds are fetched in turn. Hosts come first, so
// that a started host that knows only its seeds finds more peers to share the work
// of its catch-up.
var fetchOrder = [comparedKinds]mustardramp.RecordKind{
	mustardramp.RecordHost, mustardramp.RecordChange, mustardramp.RecordBackend,
}

// compareDigests counts mismatches of digests. After a full comparison it starts
// a fetch of the next kind that differs.
func (n *Node) compareDigests(now time.Time, l *peerLink, r *Request, resp *Response) {
	for k, mine := range n.Digests() {
		if mine == resp.Digests[k] {
			l.mismatches[k] = 0
			continue
		}
		l.mismatches[k]++
		l.heartbeatAt = earlier(l.heartbeatAt, now.Add(recheckPause))
	}
	if !r.Compare {
		return
	}
	for range fetchOrder {
		k := fetchOrder[n.nextKind]
		n.nextKind = (n.nextKind + 1) % len(fetchOrder)
		if mask := n.differingMask(k, resp.Buckets[k]); mask != 0 {
			l.fetch = n.newFetch(k, mask, 0, true)
			n.catchUps = append(n.catchUps, CatchUp{From: l.peer.Name, Kind: k})
			return
		}
	}
}

// CatchUp records that a fetch began from a peer whose records of a kind differ.
type CatchUp struct {
	From mustardramp.HostName
	Kind mustardramp.RecordKind
}

// CatchUps returns the catch-ups that began since the last call.
func (n *Node) CatchUps() []CatchUp {
	begun := n.catchUps
	n.catchUps = nil
	return begun
}

// differingMask returns a mask with a bit set for each bucket whose digest differs
// from the peer's. It is 0 if the peer sent no bucket digests.
func (n *Node) differingMask(kind mustardramp.RecordKind, theirs []uint64) uint64 {
	if len(theirs) != bucketCount {
		return 0
	}
	var mask uint64
	for b, sum := range n.store.kinds[kind].bucketDigests {
		if sum != theirs[b] {
			mask |= 1 << b
		}
	}
	return mask
}

// holdsChangesOf reports whether this host holds the same changes as a peer.
func (n *Node) holdsChangesOf(theirs Digests) bool {
	return n.Digests()[mustardramp.RecordChange] == theirs[mustardramp.RecordChange]
}

// HandleFailure records that a request had no response. It queues what the request
// carried again, or clears the queue after too many failures in a row.
func (n *Node) HandleFailure(now time.Time, to mustardramp.HostName, r *Request) {
	l := n.links[to]
	if l == nil {
		return
	}
	l.inFlight = max(0, l.inFlight-1)
	l.failures++
	n.releaseComparer(l)
	l.statementsAt, l.heartbeatAt = now.Add(n.jitter(retryPause)), now.Add(l.heartbeatInterval())
	l.changesAt, l.summariesAt = l.statementsAt, l.statementsAt
	if l.failures >= failuresToClear {
		l.outbox.clear()
		l.isNew = !l.peer.ChangesOnly
		return
	}
	for _, ref := range r.sent {
		l.outbox.put(ref, outboxItem{due: now, wanted: l.peer.Direct && ref.kind == mustardramp.RecordChange})
	}
}

// heartbeatInterval returns the time after which the idle link is used.
func (l *peerLink) heartbeatInterval() time.Duration {
	if l.peer.ChangesOnly {
		return changesOnlyHeartbeat
	}
	return heartbeatInterval
}

// jitter returns a random duration between three quarters of d and d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d - time.Duration(n.random.Int64N(int64(d)/4))
}
