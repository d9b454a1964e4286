package exchange

import (
	"math"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// fetchStubs bounds the own versions that one fetch lists.
	fetchStubs = 1000
	// pageRecords bounds the bytes of records of one page before compression.
	pageRecords = 64 << 10
	// leastPage is the budget below which no page is sent.
	leastPage = 4 << 10
)

// newFetch asks for a range of keys in the buckets of the mask, beginning above
// a hash or from the start.
func (n *Node) newFetch(kind mustardramp.RecordKind, mask, after uint64, start bool) *Fetch {
	f := &Fetch{Kind: kind, Mask: mask, After: after, Start: start, Until: math.MaxUint64}
	ids := n.store.ids(kind, mask, after, start)
	if len(ids) > fetchStubs {
		ids = ids[:fetchStubs]
		f.Until = ids[fetchStubs-1]
	}
	for _, id := range ids {
		at := ref{kind, id}
		f.Stubs = append(f.Stubs, Stub{Kind: kind, ID: id, Version: n.store.version(at)})
	}
	return f
}

// page answers a fetch with what the asking host lacks, as far as the budget
// goes.
func (n *Node) page(now time.Time, f *Fetch) (*Page, error) {
	if f.Kind >= comparedKinds {
		return nil, ErrPack.New("kind %d cannot be fetched", f.Kind)
	}
	theirs := make(map[uint64]mustardramp.Version, len(f.Stubs))
	for _, s := range f.Stubs {
		theirs[s.ID] = s.Version
	}
	p := &Page{After: f.Until}
	p.Wanted = n.wanted(now, f)
	allowed := min(n.budget.pageBytes(now), pageRecords)
	if allowed < leastPage {
		p.After, p.Cut = f.After, true
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
	n.budget.force(now, wireBytes(len(packed)))
	return p, nil
}

// pageRecords collects records up to a length and sets the end of the page. A
// single record may exceed the length.
func (n *Node) pageRecords(f *Fetch, theirs map[uint64]mustardramp.Version, allowed int, p *Page) []mustardramp.Record {
	var records []mustardramp.Record
	size := 0
	covered := f.After
	for _, id := range n.store.ids(f.Kind, f.Mask, f.After, f.Start) {
		if id > f.Until {
			break
		}
		r, _ := n.store.get(ref{f.Kind, id})
		if !r.Version.After(theirs[id]) {
			covered = id
			continue
		}
		if size > 0 && size+recordBytes(r) > allowed {
			p.After, p.Cut = covered, true
			return records
		}
		size += recordBytes(r)
		records = append(records, r)
		covered = id
	}
	return records
}

// wanted lists the keys whose versions at the asking host are newer than here.
func (n *Node) wanted(now time.Time, f *Fetch) []uint64 {
	var ids []uint64
	for _, s := range f.Stubs {
		if s.Kind == f.Kind && n.reply(now, s) == ReplyWanted {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// takePage merges a page and asks for what comes after it.
func (n *Node) takePage(now time.Time, l *peerLink, f *Fetch, p *Page) ([]mustardramp.Record, error) {
	if f == nil || p == nil {
		return nil, nil
	}
	records, err := n.packer.unpack(p.Records)
	if err != nil {
		return nil, err
	}
	news := n.merge(now, l.peer.Name, records)
	for _, id := range p.Wanted {
		l.out.put(ref{f.Kind, id}, outItem{wanted: true})
	}
	if p.After == math.MaxUint64 && !p.Cut {
		return news, nil
	}
	if p.Cut && len(records) == 0 {
		// The peer's budget is spent for now; another peer may go on.
		return news, nil
	}
	l.fetch = n.newFetch(f.Kind, f.Mask, p.After, false)
	return news, nil
}
