package link

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// Router finds the handler of a method. Its zero value works.
type Router struct {
	mu       sync.RWMutex
	handlers map[string]handler
}

type handler func(ctx context.Context, params *json.RawMessage) (json.RawMessage, error)

// Handle lets fn answer the calls of a method. An error that fn returns reaches
// the caller as ErrRemote with the same text.
func Handle[Req, Resp any](r *Router, method string, fn func(context.Context, Req) (Resp, error)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handlers == nil {
		r.handlers = make(map[string]handler)
	}
	r.handlers[method] = func(ctx context.Context, params *json.RawMessage) (json.RawMessage, error) {
		var req Req
		if err := decode(params, &req); err != nil {
			return nil, err
		}
		resp, err := fn(ctx, req)
		if err != nil {
			return nil, err
		}
		return encode(resp)
	}
}

func (r *Router) find(method string) (handler, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	h, ok := r.handlers[method]
	return h, ok
}

// answer runs the handler of a request and sends its result.
func (r *Router) answer(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) error {
	h, ok := r.find(req.Method)
	if !ok {
		return conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeMethodNotFound,
			Message: "unknown method " + req.Method,
		})
	}
	result, err := h(ctx, req.Params)
	if err != nil {
		return conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: codeHandler, Message: err.Error()})
	}
	err = conn.Reply(ctx, req.ID, result)
	if ErrTooLarge.Has(err) {
		return conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: codeTooLarge, Message: err.Error()})
	}
	return err
}

// The codes of errors on the wire, beside those of JSON-RPC itself.
const (
	codeHandler  = 1
	codeTooLarge = 2
)

// Peer is the process at the other end of a call.
type Peer struct {
	// Address is the remote address of the connection.
	Address netip.AddrPort
	// Name is the common name of the verified certificate, or empty without
	// TLS.
	Name string
}

type peerKey struct{}

// PeerOf returns who made the call that a handler answers.
func PeerOf(ctx context.Context) Peer {
	p, _ := ctx.Value(peerKey{}).(Peer)
	return p
}
