package admin

import (
	"context"
	"errors"
	"time"

	"github.com/mustardramp/mustardramp"
	api "github.com/mustardramp/mustardramp/gen/request"
	"github.com/mustardramp/mustardramp/internal/entry"
)

// requests serves the request service of the API.
type requests struct{ *server }

// Explain explains where a request would go now.
func (r requests) Explain(ctx context.Context, p *api.ExplainPayload) (*api.RequestExplanation, error) {
	if r.Requests == nil {
		return nil, unavailableError("the routes of requests")
	}
	query := entry.Query{
		Method: p.Method, Host: p.Host, Path: p.Path, Size: mustardramp.Bytes(p.Size),
		Workspace: mustardramp.WorkspaceName(valueOf(p.Workspace)),
	}
	if p.TimeoutMs != nil {
		query.Timeout = time.Duration(*p.TimeoutMs) * time.Millisecond
	}
	explanation, err := r.Requests.Explain(ctx, query)
	switch {
	case err == nil:
		return explanation, nil
	case errors.Is(err, entry.ErrNoConfiguration):
		return nil, newError(errUnavailable, "%v", err)
	case entry.ErrNoWorkspace.Has(err):
		return nil, newError(errNotFound, "%v", err)
	default:
		return nil, newError(errInvalid, "%v", err)
	}
}
