package link

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// Router maps methods to handlers. The zero value is ready to use.
type Router struct {
	mu       sync.RWMutex
	handlers map[string]handler
}

// handler answers one call; it decodes the params and encodes the result.
type handler func(ctx context.Context, params *json.RawMessage) (json.RawMessage, error)

// Handle registers fn as the handler of a method. The client that made the call
// gets an error of fn as ErrRemote with the same text.
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

// find returns the handler of a method.
func (r *Router) find(method string) (handler, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	h, ok := r.handlers[method]
	return h, ok
}

// dispatch runs the handler of a request and sends its result or error.
func (r *Router) dispatch(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) error {
	h, ok := r.find(req.Method)
	if !ok {
		return conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeMethodNotFound,
			Message: "unknown method " + req.Method,
		})
	}
	result, err := h(ctx, req.Params)
	if err != nil {
		return conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: codeHandlerError, Message: err.Error()})
	}
	err = conn.Reply(ctx, req.ID, result)
	if ErrTooLarge.Has(err) {
		return conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: codeTooLarge, Message: err.Error()})
	}
	return err
}

// Error codes on the wire, in addition to those of JSON-RPC itself.
const (
	codeHandlerError = 1
	codeTooLarge     = 2
)

// Peer is the process at the other end of a call.
type Peer struct {
	// Address is the remote address of the connection.
	Address netip.AddrPort
	// Name is the common name of the verified certificate, or empty without
	// TLS.
	Name string
}

// peerKey is the context key of the Peer.
type peerKey struct{}

// PeerFromContext returns the peer that made the call, from the context of its
// handler. It returns the zero Peer for any other context.
func PeerFromContext(ctx context.Context) Peer {
	p, _ := ctx.Value(peerKey{}).(Peer)
	return p
}
