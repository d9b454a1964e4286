package exchange

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

// outbox lists the records that a link has still to send, changes first.
type outbox struct {
	// order holds each ref of items once, and perhaps some that have left.
	order [mustardramp.RecordKindCount][]ref
	items map[ref]outItem
}

type outItem struct {
	// due is when the record may be sent.
	due time.Time
	// wanted is set when the peer has asked for the record.
	wanted bool
}

// put lists a record, in place of what was listed for it.
func (o *outbox) put(at ref, item outItem) {
	if o.items == nil {
		o.items = make(map[ref]outItem)
	}
	if _, listed := o.items[at]; !listed {
		o.order[at.kind] = append(o.order[at.kind], at)
	}
	o.items[at] = item
}

// remove takes a record off the list.
func (o *outbox) remove(at ref) {
	delete(o.items, at)
}

// clear takes all off.
func (o *outbox) clear() {
	*o = outbox{}
}

// each calls fn for the due records in order of kind and age until fn returns
// false for the kind. fn may remove the record.
func (o *outbox) each(now time.Time, fn func(ref, outItem) bool) {
	for kind := range o.order {
		o.compact(kind)
		for _, at := range o.order[kind] {
			item, listed := o.items[at]
			if !listed || item.due.After(now) {
				continue
			}
			if !fn(at, item) {
				break
			}
		}
	}
}

// compact drops the refs that have left the list.
func (o *outbox) compact(kind int) {
	kept := o.order[kind][:0]
	for _, at := range o.order[kind] {
		if _, listed := o.items[at]; listed {
			kept = append(kept, at)
		}
	}
	o.order[kind] = kept
}

// holds reports whether a record of a kind is listed.
func (o *outbox) holds(kind mustardramp.RecordKind) bool {
	for _, at := range o.order[kind] {
		if _, listed := o.items[at]; listed {
			return true
		}
	}
	return false
}

// next returns when the first record is due; ok is false for an empty list.
func (o *outbox) next() (due time.Time, ok bool) {
	for _, item := range o.items {
		if !ok || item.due.Before(due) {
			due, ok = item.due, true
		}
	}
	return due, ok
}
