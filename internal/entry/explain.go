package entry

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

var (
	// ErrQuery is the class of errors of a query that describes no request.
	ErrQuery = errs.Class("request")
	// ErrNoConfiguration means that the host has no current configuration.
	ErrNoConfiguration = errs.New("the host has no current configuration yet")
	// ErrNoWorkspace is the class of errors of a query for an unknown workspace.
	ErrNoWorkspace = errs.Class("workspace")
)

// Query describes a request that is explained and not sent.
type Query struct {
	Method, Host string
	// Path is the path with the query, as in a request line.
	Path string
	// Workspace stands for a key of the workspace. It may be empty.
	Workspace mustardramp.WorkspaceName
	// Size is the length of the body.
	Size mustardramp.Bytes
	// Timeout is the time that the caller states, or 0 if it states none.
	Timeout time.Duration
}

// Explanation is what a handler would do with a request up to the choice of a backend.
type Explanation struct {
	// Set is the configuration that decides.
	Set *contract.Set
	// Route is nil if no route matches. Rule is the rule that the decision follows from.
	Route *contract.Route
	Rule  mustardramp.Rule
	Rank  mustardramp.Rank
	// Workspace is nil if the request has none.
	Workspace *contract.Workspace
	// Denial is set if the request would be refused before a service is chosen.
	Denial *mustardramp.Denial
	// NeedsToken is true if the request would take a token of its workspace's quota.
	NeedsToken bool
	// Parts lists the services that the request may go to.
	Parts []PartExplanation
}

// PartExplanation is a service that a request may go to.
type PartExplanation struct {
	Service mustardramp.ServiceName
	// Weight is the weight among the parts of a split.
	Weight float64
	// Denial is set if the request would be refused before the service's pool is asked:
	// before it takes a token if IsBeforeToken is true, and after it otherwise.
	Denial        *mustardramp.Denial
	IsBeforeToken bool
	// Deadline is the time for the first byte of the response.
	Deadline time.Duration
	// Demand is what the service's pool would be asked for.
	Demand mustardramp.Demand
}

// Explain returns what the handler would do with a request. It runs the steps of real
// requests that have no effects. It counts nothing and chooses no part of a split. The
// operation key that some routes need is taken for present.
func (h *Handler) Explain(ctx context.Context, q Query) (*Explanation, error) {
	r, err := q.request(ctx, h.config.Headers.Timeout)
	if err != nil {
		return nil, err
	}
	x := exchange{h: h, r: r, arrived: h.config.Clock.Now(), contractSet: h.config.Contracts(), verdict: mustardramp.VerdictNotRun()}
	if x.contractSet == nil {
		return nil, ErrNoConfiguration
	}
	out := &Explanation{Set: x.contractSet}
	if q.Workspace != "" {
		if x.workspace = findWorkspace(x.contractSet, q.Workspace); x.workspace == nil {
			// The name may be a key by mistake.
			return nil, ErrNoWorkspace.New("none of this name is in force at this host")
		}
	}
	out.Denial = x.explainRoute()
	out.Route, out.Rank, out.Workspace = x.route, x.rank, x.workspace
	out.NeedsToken = x.needsToken()
	if out.Denial != nil {
		out.Rule = x.ruleFor(out.Denial.Kind)
		return out, nil
	}
	out.Rule = x.ruleFor(mustardramp.KindUnknown)
	if !x.route.IsTableRoute() {
		out.Parts = []PartExplanation{x.explainPart(contract.Part{Service: x.contract.Service, Weight: 1}, q.Size)}
		return out, nil
	}
	for _, part := range x.route.Parts {
		y := x
		y.contract = x.contractSet.Service(part.Service)
		out.Parts = append(out.Parts, y.explainPart(part, q.Size))
	}
	return out, nil
}

// request returns the request of a query.
func (q *Query) request(ctx context.Context, timeoutHeader string) (*http.Request, error) {
	target, err := url.ParseRequestURI(q.Path)
	if err != nil || target.Host != "" || q.Path[0] != '/' {
		return nil, ErrQuery.New("%q is not a path", q.Path)
	}
	r, err := http.NewRequestWithContext(ctx, q.Method, "/", nil)
	if err != nil {
		return nil, ErrQuery.New("%q is not a method", q.Method)
	}
	r.URL, r.RequestURI, r.Host, r.ContentLength = target, q.Path, q.Host, int64(q.Size)
	if q.Timeout > 0 {
		r.Header.Set(timeoutHeader, strconv.FormatInt(q.Timeout.Milliseconds(), 10))
	}
	return r, nil
}

func findWorkspace(set *contract.Set, name mustardramp.WorkspaceName) *contract.Workspace {
	all := set.Workspaces()
	i := slices.IndexFunc(all, func(w *contract.Workspace) bool { return w.Name == name })
	if i < 0 {
		return nil
	}
	return all[i]
}

// explainRoute runs the steps up to the choice of a service.
func (x *exchange) explainRoute() *mustardramp.Denial {
	if denial := x.checkStopping(); denial != nil {
		return denial
	}
	x.matchTableRoute()
	if x.contractSet.HasWorkspaces() {
		if denial := x.applyWorkspace(noKeyReason); denial != nil {
			return denial
		}
	}
	for _, step := range [...]func(*exchange) *mustardramp.Denial{
		(*exchange).checkRequest,
		(*exchange).findContract,
		(*exchange).findRoute,
	} {
		if denial := step(x); denial != nil {
			return denial
		}
	}
	return nil
}

// explainPart runs the steps of a request to one service up to its pool.
func (x *exchange) explainPart(part contract.Part, size mustardramp.Bytes) PartExplanation {
	out := PartExplanation{Service: part.Service, Weight: part.Weight, IsBeforeToken: true}
	for _, step := range [...]func(*exchange) *mustardramp.Denial{
		(*exchange).findService,
		(*exchange).findDeadline,
		(*exchange).checkGrace,
	} {
		if out.Denial = step(x); out.Denial != nil {
			return out
		}
	}
	out.Deadline = x.deadline.Sub(x.arrived)
	out.Demand = x.newDemand()
	out.Demand.Size = size
	out.IsBeforeToken = false
	if x.route.Key != "" && size > MaxKeyedBytes {
		out.Denial = keyedBodyTooLarge()
	}
	return out
}

// HostName returns the host without the port, as routes are found by it.
func (q *Query) HostName() string {
	return normalizeHost(q.Host)
}
