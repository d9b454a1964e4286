package registry

import (
	"context"
	"sync/atomic"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// Methods of the link between hosts.
const (
	methodCheck     = "contract/check"
	methodPublish   = "contract/publish"
	methodConfirmed = "contract/confirmed"
	methodEntry     = "contract/entry"
	methodChanges   = "contract/changes"
)

type checkRequest struct {
	Files []File `cbor:"1,keyasint"`
}

type checkReply struct {
	Faults contract.Faults `cbor:"1,keyasint"`
}

type confirmedRequest struct{}

type confirmedReply struct {
	Entries []Entry `cbor:"1,keyasint"`
}

type entryRequest struct {
	Service  mustardramp.ServiceName `cbor:"1,keyasint"`
	Revision mustardramp.Revision    `cbor:"2,keyasint"`
}

type entryReply struct {
	Entry Entry `cbor:"1,keyasint"`
	Found bool  `cbor:"2,keyasint"`
}

type changesRequest struct {
	Before  mustardramp.Index       `cbor:"1,keyasint"`
	Service mustardramp.ServiceName `cbor:"2,keyasint"`
	Limit   int                     `cbor:"3,keyasint"`
}

type changesReply struct {
	Changes []Change `cbor:"1,keyasint"`
}

// Serve answers the calls of Remote.
func (d *Desk) Serve(router *link.Router) {
	link.Handle(router, methodCheck, func(ctx context.Context, r checkRequest) (checkReply, error) {
		faults, err := d.Check(ctx, r.Files)
		return checkReply{faults}, err
	})
	link.Handle(router, methodPublish, d.Publish)
	link.Handle(router, methodConfirmed, func(ctx context.Context, _ confirmedRequest) (confirmedReply, error) {
		entries, err := d.Confirmed(ctx)
		return confirmedReply{entries}, err
	})
	link.Handle(router, methodEntry, func(ctx context.Context, r entryRequest) (entryReply, error) {
		e, ok, err := d.Entry(ctx, r.Service, r.Revision)
		return entryReply{e, ok}, err
	})
	link.Handle(router, methodChanges, func(ctx context.Context, r changesRequest) (changesReply, error) {
		changes, err := d.Changes(ctx, r.Before, r.Service, r.Limit)
		return changesReply{changes}, err
	})
}

// Remote reaches the desk of any of several control hosts. It starts with the
// one that answered last.
type Remote struct {
	Hosts []link.Caller
	// last is an index into Hosts.
	last atomic.Int64
}

// Check is Desk.Check.
func (r *Remote) Check(ctx context.Context, files []File) (contract.Faults, error) {
	reply, err := ask[checkReply](ctx, r, methodCheck, checkRequest{files})
	return reply.Faults, err
}

// Publish is Desk.Publish. Trying several hosts is safe because of the change
// id.
func (r *Remote) Publish(ctx context.Context, command Command) (Result, error) {
	return ask[Result](ctx, r, methodPublish, command)
}

// Confirmed is Desk.Confirmed.
func (r *Remote) Confirmed(ctx context.Context) ([]Entry, error) {
	reply, err := ask[confirmedReply](ctx, r, methodConfirmed, confirmedRequest{})
	return reply.Entries, err
}

// Entry is Desk.Entry.
func (r *Remote) Entry(ctx context.Context, service mustardramp.ServiceName, revision mustardramp.Revision) (Entry, bool, error) {
	reply, err := ask[entryReply](ctx, r, methodEntry, entryRequest{service, revision})
	return reply.Entry, reply.Found, err
}

// Changes is Desk.Changes.
func (r *Remote) Changes(ctx context.Context, before mustardramp.Index, service mustardramp.ServiceName, limit int) ([]Change, error) {
	reply, err := ask[changesReply](ctx, r, methodChanges, changesRequest{before, service, limit})
	return reply.Changes, err
}

// ask calls one host after the other until one answers.
func ask[Resp, Req any](ctx context.Context, r *Remote, method string, req Req) (Resp, error) {
	err := Error.New("no control host is known")
	first := int(r.last.Load())
	for i := range r.Hosts {
		n := (first + i) % len(r.Hosts)
		var resp Resp
		resp, err = link.Call[Resp](ctx, r.Hosts[n], method, req)
		if err == nil {
			r.last.Store(int64(n))
			return resp, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	var none Resp
	return none, err
}
