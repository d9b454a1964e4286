package exchange

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

// Answer takes in a peer's request. It returns the response and the records
// that are news here.
func (n *Node) Answer(now time.Time, r *Request) (*Response, []mustardramp.Record, error) {
	records, err := n.packer.unpack(r.News)
	if err != nil {
		return nil, nil, err
	}
	news := n.merge(now, r.From, records)
	resp := &Response{Ready: n.ready.is, Replies: n.replies(now, r)}
	if r.Fetch != nil {
		resp.Page, err = n.page(now, r.Fetch)
		if err != nil {
			return nil, news, err
		}
	}
	resp.Sums = n.Sums()
	resp.Newest = n.Newest()
	if r.Compare {
		resp.Buckets = n.differing(r.Sums)
	}
	n.budget.force(now, resp.size())
	return resp, news, nil
}

// replies decides about each offered record.
func (n *Node) replies(now time.Time, r *Request) []Reply {
	out := make([]Reply, len(r.Have))
	for i, stub := range r.Have {
		out[i] = n.reply(now, stub)
	}
	return out
}

func (n *Node) reply(now time.Time, stub Stub) Reply {
	at := stub.ref()
	if at.kind >= mustardramp.RecordKindCount || !stub.Version.After(n.store.version(at)) {
		return ReplyKnown
	}
	e, asked := n.expected[at]
	if asked && now.Before(e.until) && !stub.Version.After(e.version) {
		return ReplyLater
	}
	if len(n.expected) >= expectLimit {
		n.forget(now)
	}
	n.expected[at] = expectation{stub.Version, now.Add(expectTime)}
	return ReplyWanted
}

// forget drops the expectations whose time has passed.
func (n *Node) forget(now time.Time) {
	for at, e := range n.expected {
		if now.After(e.until) {
			delete(n.expected, at)
		}
	}
}

// differing returns the digests by bucket of the kinds that differ.
func (n *Node) differing(theirs Sums) map[mustardramp.RecordKind][]uint64 {
	var out map[mustardramp.RecordKind][]uint64
	for k, mine := range n.Sums() {
		if mine == theirs[k] {
			continue
		}
		if out == nil {
			out = make(map[mustardramp.RecordKind][]uint64)
		}
		sums := n.store.kinds[k].sums
		out[mustardramp.RecordKind(k)] = sums[:]
	}
	return out
}

// Done takes in the response to a request. It returns the records that are news
// here.
func (n *Node) Done(now time.Time, to mustardramp.HostName, r *Request, resp *Response) ([]mustardramp.Record, error) {
	l := n.links[to]
	if l == nil {
		return nil, nil
	}
	l.calls, l.failures = max(0, l.calls-1), 0
	l.soon, l.at = now.Add(batchPause), now.Add(n.budget.pause(now))
	l.calm = later(l.at, now.Add(summaryPause))
	l.idle = now.Add(n.jitter(l.heartbeat()))
	for i, stub := range r.Have {
		if i < len(resp.Replies) {
			n.settle(now, l, stub, resp.Replies[i])
		}
	}
	for _, stub := range r.pushed {
		n.noteCopy(l, stub.ref(), stub.Version)
	}
	news, err := n.takePage(now, l, r.Fetch, resp.Page)
	if err != nil {
		return nil, err
	}
	if l.peer.Only {
		n.reconcile(now, l, r, resp)
		return news, nil
	}
	n.compare(now, l, r, resp)
	l.fresh = false
	if l.fetch == nil {
		n.release(l)
	}
	n.ready.heard(to, resp.Ready, l.inSync(n.Sums(), resp.Sums))
	return news, nil
}

// settle follows a reply to an offered record.
func (n *Node) settle(now time.Time, l *peerLink, stub Stub, reply Reply) {
	switch reply {
	case ReplyWanted:
		l.out.put(stub.ref(), outItem{wanted: true})
	case ReplyLater:
		l.out.put(stub.ref(), outItem{due: now.Add(offerPause)})
	case ReplyKnown:
		n.noteCopy(l, stub.ref(), stub.Version)
	}
}

// reconcile sends a fed host the changes that it lacks: those that were committed
// before the link was, and those that the link lost.
func (n *Node) reconcile(now time.Time, l *peerLink, r *Request, resp *Response) {
	const kind = mustardramp.RecordChange
	if n.Sums()[kind] == resp.Sums[kind] {
		l.differs[kind] = 0
		return
	}
	if l.calls > 0 || l.out.holds(kind) {
		// What it lacks may be on its way.
		return
	}
	if !r.Compare {
		l.differs[kind]++
		l.idle = earlier(l.idle, now.Add(recheck))
		return
	}
	l.differs[kind] = 0
	for _, id := range n.store.ids(kind, n.mask(kind, resp.Buckets[kind]), 0, true) {
		l.out.put(ref{kind, id}, outItem{due: now, wanted: true})
	}
}

// fetchOrder is the order in which kinds take turns: a started host that knows
// only its seeds first finds more peers to share the work of its catch-up.
var fetchOrder = [comparedKinds]mustardramp.RecordKind{
	mustardramp.RecordHost, mustardramp.RecordChange, mustardramp.RecordBackend,
}

// compare counts differing digests, and starts to fetch from the first bucket
// of a kind that differs.
func (n *Node) compare(now time.Time, l *peerLink, r *Request, resp *Response) {
	for k, mine := range n.Sums() {
		if mine == resp.Sums[k] {
			l.differs[k] = 0
			continue
		}
		l.differs[k]++
		l.idle = earlier(l.idle, now.Add(recheck))
	}
	if !r.Compare {
		return
	}
	for range fetchOrder {
		k := fetchOrder[n.turn]
		n.turn = (n.turn + 1) % len(fetchOrder)
		if mask := n.mask(k, resp.Buckets[k]); mask != 0 {
			l.fetch = n.newFetch(k, mask, 0, true)
			n.caughtUp = append(n.caughtUp, CatchUp{From: l.peer.Name, Kind: k})
			return
		}
	}
}

// CatchUp is the begin of a fetch from a peer whose records of a kind differ.
type CatchUp struct {
	From mustardramp.HostName
	Kind mustardramp.RecordKind
}

// CatchUps returns the catch-ups that began since the last call.
func (n *Node) CatchUps() []CatchUp {
	begun := n.caughtUp
	n.caughtUp = nil
	return begun
}

// mask has a bit for each bucket whose digest differs from the peer's.
func (n *Node) mask(kind mustardramp.RecordKind, theirs []uint64) uint64 {
	if len(theirs) != bucketCount {
		return 0
	}
	var mask uint64
	for b, sum := range n.store.kinds[kind].sums {
		if sum != theirs[b] {
			mask |= 1 << b
		}
	}
	return mask
}

// inSync reports whether all changes of the peer are held here.
func (l *peerLink) inSync(mine, theirs Sums) bool {
	return mine[mustardramp.RecordChange] == theirs[mustardramp.RecordChange]
}

// Failed takes in that a request had no response.
func (n *Node) Failed(now time.Time, to mustardramp.HostName, r *Request) {
	l := n.links[to]
	if l == nil {
		return
	}
	l.calls = max(0, l.calls-1)
	l.failures++
	n.release(l)
	l.at, l.idle = now.Add(n.jitter(retryPause)), now.Add(l.heartbeat())
	l.soon, l.calm = l.at, l.at
	if l.failures >= failuresToClear {
		l.out.clear()
		l.fresh = !l.peer.Only
		return
	}
	for _, at := range r.sent {
		l.out.put(at, outItem{due: now, wanted: l.peer.Fed && at.kind == mustardramp.RecordChange})
	}
}

func (l *peerLink) heartbeat() time.Duration {
	if l.peer.Only {
		return feedHeartbeat
	}
	return heartbeat
}

// jitter returns a random time between three quarters of d and d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d - time.Duration(n.random.Int64N(int64(d)/4))
}
