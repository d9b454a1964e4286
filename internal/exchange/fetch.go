package exchange

import (
	"math"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// maxFetchHeaders bounds the number of own versions that one fetch lists.
	maxFetchHeaders = 1000
	// maxPageBytes bounds the length of the records of a page before
	// compression.
	maxPageBytes = 64 << 10
	// minPageBytes is the number of available bytes below which no page is sent.
	minPageBytes = 4 << 10
)

// newFetch returns a fetch of a range of keys in the buckets of the mask. The
// range begins above the hash after or, if start is set, with the lowest hash.
func (n *Node) newFetch(kind mustardramp.RecordKind, mask, after uint64, start bool) *Fetch {
	f := &Fetch{Kind: kind, Mask: mask, After: after, Start: start, Until: math.MaxUint64}
	ids := n.store.ids(kind, mask, after, start)
	if len(ids) > maxFetchHeaders {
		ids = ids[:maxFetchHeaders]
		f.Until = ids[maxFetchHeaders-1]
	}
	for _, id := range ids {
		ref := recordRef{kind, id}
		f.Headers = append(f.Headers, RecordHeader{Kind: kind, ID: id, Version: n.store.version(ref)})
	}
	return f
}

// page answers a fetch with the records that the asking host lacks, as far as the
// budget allows.
func (n *Node) page(now time.Time, f *Fetch) (*Page, error) {
	if f.Kind >= comparedKinds {
		return nil, ErrPack.New("kind %d cannot be fetched", f.Kind)
	}
	theirs := make(map[uint64]mustardramp.Version, len(f.Headers))
	for _, header := range f.Headers {
		theirs[header.ID] = header.Version
	}
	p := &Page{After: f.Until}
	p.Wanted = n.wanted(now, f)
	allowed := min(n.budget.pageBytes(now), maxPageBytes)
	if allowed < minPageBytes {
		p.After, p.Truncated = f.After, true
		return p, nil
	}
	records := n.pageRecords(f, theirs, allowed, p)
	if len(records) == 0 {
		return p, nil
	}
	packed, err := n.packer.pack(records)
	if err != nil {
		return nil, err
	}
	p.Records = packed
	n.budget.forceSpend(now, wireBytes(len(packed)))
	return p, nil
}

// pageRecords collects records of up to allowed bytes and sets the end of the
// page. A single record may exceed the limit.
func (n *Node) pageRecords(f *Fetch, theirs map[uint64]mustardramp.Version, allowed int, p *Page) []mustardramp.Record {
	var records []mustardramp.Record
	size := 0
	covered := f.After
	for _, id := range n.store.ids(f.Kind, f.Mask, f.After, f.Start) {
		if id > f.Until {
			break
		}
		r, _ := n.store.get(recordRef{f.Kind, id})
		if !r.Version.After(theirs[id]) {
			covered = id
			continue
		}
		if size > 0 && size+recordBytes(r) > allowed {
			p.After, p.Truncated = covered, true
			return records
		}
		size += recordBytes(r)
		records = append(records, r)
		covered = id
	}
	return records
}

// wanted lists the hashes of the keys whose versions at the asking host are newer
// than here and that no other host was asked for.
func (n *Node) wanted(now time.Time, f *Fetch) []uint64 {
	var ids []uint64
	for _, header := range f.Headers {
		if header.Kind == f.Kind && n.reply(now, header) == ReplyWanted {
			ids = append(ids, header.ID)
		}
	}
	return ids
}

// mergePage merges a page and sets the link's next fetch. It returns the accepted
// records.
func (n *Node) mergePage(now time.Time, l *peerLink, f *Fetch, p *Page) ([]mustardramp.Record, error) {
	if f == nil || p == nil {
		return nil, nil
	}
	records, err := n.packer.unpack(p.Records)
	if err != nil {
		return nil, err
	}
	accepted := n.merge(now, l.peer.Name, records)
	for _, id := range p.Wanted {
		l.outbox.put(recordRef{f.Kind, id}, outboxItem{wanted: true})
	}
	if p.After == math.MaxUint64 && !p.Truncated {
		return accepted, nil
	}
	if p.Truncated && len(records) == 0 {
		// The peer's budget is spent for now, and another peer may continue.
		return accepted, nil
	}
	l.fetch = n.newFetch(f.Kind, f.Mask, p.After, false)
	return accepted, nil
}
