package quota

import (
	"context"

	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
)

// Methods of the calls between hosts.
const (
	methodAsk  = "quota.ask"
	methodVote = "quota.vote"
)

// maxRate is the highest rate of a quota, far beyond what a fleet serves.
const maxRate = 1e9

// ErrAsk is the class of errors of malformed calls of other hosts.
var ErrAsk = errs.Class("quota ask")

// Serve registers the handlers for the calls of other hosts.
func Serve(router *link.Router, p *Pool) {
	link.Handle(router, methodAsk, func(ctx context.Context, request Request) (Response, error) {
		if request.Want < 0 || request.Ahead < 0 || request.Unused < 0 || !(request.Rate > 0) || request.Rate > maxRate || request.Burst < 0 {
			return Response{}, ErrAsk.New("workspace %q: want %d, ahead %d, unused %d, rate %g, burst %d", request.Workspace, request.Want, request.Ahead, request.Unused, request.Rate, request.Burst)
		}
		return p.Answer(ctx, request), nil
	})
	link.Handle(router, methodVote, func(_ context.Context, ballot Ballot) (Vote, error) {
		return p.Vote(ballot), nil
	})
}

// Network implements Peers by calls over links.
type Network struct {
	// Link returns the link to a host.
	Link func(mustardramp.HostName) (link.Invoker, error)
}

var _ Peers = (*Network)(nil)

// Ask implements Peers.
func (n *Network) Ask(ctx context.Context, host mustardramp.HostName, request Request) (Response, error) {
	return call[Response](ctx, n, host, methodAsk, request)
}

// Vote implements Peers.
func (n *Network) Vote(ctx context.Context, host mustardramp.HostName, ballot Ballot) (Vote, error) {
	return call[Vote](ctx, n, host, methodVote, ballot)
}

func call[Resp, Req any](ctx context.Context, n *Network, host mustardramp.HostName, method string, req Req) (Resp, error) {
	peer, err := n.Link(host)
	if err != nil {
		var none Resp
		return none, err
	}
	return link.Call[Resp](ctx, peer, method, req)
}
