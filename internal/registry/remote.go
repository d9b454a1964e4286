package registry

import (
	"context"
	"sync/atomic"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// Names of the link methods between hosts.
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

// Serve registers the methods that Remote calls.
func (s *Server) Serve(router *link.Router) {
	link.Handle(router, methodCheck, func(ctx context.Context, r checkRequest) (checkReply, error) {
		faults, err := s.Check(ctx, r.Files)
		return checkReply{faults}, err
	})
	link.Handle(router, methodPublish, s.Publish)
	link.Handle(router, methodConfirmed, func(ctx context.Context, _ confirmedRequest) (confirmedReply, error) {
		entries, err := s.Confirmed(ctx)
		return confirmedReply{entries}, err
	})
	link.Handle(router, methodEntry, func(ctx context.Context, r entryRequest) (entryReply, error) {
		e, ok, err := s.Entry(ctx, r.Service, r.Revision)
		return entryReply{e, ok}, err
	})
	link.Handle(router, methodChanges, func(ctx context.Context, r changesRequest) (changesReply, error) {
		changes, err := s.Changes(ctx, r.Before, r.Service, r.Limit)
		return changesReply{changes}, err
	})
}

// Remote calls the methods of Server on one of several control hosts. It starts
// with the host that answered last.
type Remote struct {
	Hosts []link.Invoker
	// preferred is the index in Hosts of the host to call first.
	preferred atomic.Int64
}

// Check calls Server.Check.
func (r *Remote) Check(ctx context.Context, files []File) (contract.Faults, error) {
	reply, err := callAny[checkReply](ctx, r, methodCheck, checkRequest{files})
	return reply.Faults, err
}

// Publish calls Server.Publish. Calling several hosts is safe, because a change is
// accepted once under its id.
func (r *Remote) Publish(ctx context.Context, command Command) (Result, error) {
	return callAny[Result](ctx, r, methodPublish, command)
}

// Confirmed calls Server.Confirmed.
func (r *Remote) Confirmed(ctx context.Context) ([]Entry, error) {
	reply, err := callAny[confirmedReply](ctx, r, methodConfirmed, confirmedRequest{})
	return reply.Entries, err
}

// Entry calls Server.Entry.
func (r *Remote) Entry(ctx context.Context, service mustardramp.ServiceName, revision mustardramp.Revision) (Entry, bool, error) {
	reply, err := callAny[entryReply](ctx, r, methodEntry, entryRequest{service, revision})
	return reply.Entry, reply.Found, err
}

// Changes calls Server.Changes.
func (r *Remote) Changes(ctx context.Context, before mustardramp.Index, service mustardramp.ServiceName, limit int) ([]Change, error) {
	reply, err := callAny[changesReply](ctx, r, methodChanges, changesRequest{before, service, limit})
	return reply.Changes, err
}

// callAny calls one host after another until one answers or the context ends.
func callAny[Resp, Req any](ctx context.Context, r *Remote, method string, req Req) (Resp, error) {
	err := Error.New("no control host is known")
	first := int(r.preferred.Load())
	for i := range r.Hosts {
		n := (first + i) % len(r.Hosts)
		var resp Resp
		resp, err = link.Call[Resp](ctx, r.Hosts[n], method, req)
		if err == nil {
			r.preferred.Store(int64(n))
			return resp, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	var none Resp
	return none, err
}
