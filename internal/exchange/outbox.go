package exchange

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

// outbox is the queue of records that a link has yet to send, changes first.
type outbox struct {
	// order holds each key of items once, by kind and in order of arrival. It
	// may also hold keys that were removed from items.
	order [mustardramp.RecordKindCount][]recordRef
	items map[recordRef]outboxItem
}

type outboxItem struct {
	// due is the earliest time at which the record may be sent.
	due time.Time
	// wanted is set when the peer has asked for the record.
	wanted bool
}

// put queues a record, or replaces its item if the record is queued already.
func (o *outbox) put(ref recordRef, item outboxItem) {
	if o.items == nil {
		o.items = make(map[recordRef]outboxItem)
	}
	if _, queued := o.items[ref]; !queued {
		o.order[ref.kind] = append(o.order[ref.kind], ref)
	}
	o.items[ref] = item
}

// remove removes a record from the queue.
func (o *outbox) remove(ref recordRef) {
	delete(o.items, ref)
}

// clear removes all records.
func (o *outbox) clear() {
	*o = outbox{}
}

// eachDue calls fn for the due records in order of kind and age, and goes on to
// the next kind when fn returns false. fn may remove the record.
func (o *outbox) eachDue(now time.Time, fn func(recordRef, outboxItem) bool) {
	for kind := range o.order {
		o.compact(kind)
		for _, ref := range o.order[kind] {
			item, queued := o.items[ref]
			if !queued || item.due.After(now) {
				continue
			}
			if !fn(ref, item) {
				break
			}
		}
	}
}

// compact drops the keys of removed records from the order of a kind.
func (o *outbox) compact(kind int) {
	kept := o.order[kind][:0]
	for _, ref := range o.order[kind] {
		if _, queued := o.items[ref]; queued {
			kept = append(kept, ref)
		}
	}
	o.order[kind] = kept
}

// contains reports whether a record of a kind is queued.
func (o *outbox) contains(kind mustardramp.RecordKind) bool {
	for _, ref := range o.order[kind] {
		if _, queued := o.items[ref]; queued {
			return true
		}
	}
	return false
}

// nextDue returns when the first record is due. ok is false if the outbox is
// empty.
func (o *outbox) nextDue() (due time.Time, ok bool) {
	for _, item := range o.items {
		if !ok || item.due.Before(due) {
			due, ok = item.due, true
		}
	}
	return due, ok
}
