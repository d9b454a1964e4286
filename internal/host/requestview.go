package host

import (
	"context"
	"strings"
	"time"

	"github.com/mustardramp/mustardramp"
	requestapi "github.com/mustardramp/mustardramp/gen/request"
	"github.com/mustardramp/mustardramp/internal/entry"
	"github.com/mustardramp/mustardramp/internal/lease"
	"github.com/mustardramp/mustardramp/internal/quota"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// nearestRoutes is the number of routes that are listed for a request without a route.
const nearestRoutes = 5

// Actions of an outcome in the design of the API.
const (
	actionSend    = "send"
	actionWait    = "wait"
	actionRefuse  = "refuse"
	actionDepends = "depends"
)

var distanceNames = [...]string{
	mustardramp.SameZone: "same-zone", mustardramp.SameRegion: "same-region", mustardramp.AcrossRegions: "across-regions",
}

var decisionNames = [...]string{
	quota.AsksKeeper: "asks-keeper", quota.Admits: "admits", quota.Refuses: "refuses", quota.Draws: "draws",
}

// Explain implements admin.Requests.
func (v *entryView) Explain(ctx context.Context, q entry.Query) (*requestapi.RequestExplanation, error) {
	e, err := v.handler.Explain(ctx, q)
	if err != nil {
		return nil, err
	}
	out := &requestapi.RequestExplanation{
		Asked: string(v.config.Name), At: mustardramp.TimeOfDay(v.clock.Now()).UTC().Format(time.RFC3339),
		Index: uint64(e.Set.Index), Current: v.current.Load(),
		Nearest: []*requestapi.NearRoute{}, Parts: []*requestapi.RequestPart{},
	}
	if e.Set.HasTable() {
		out.TableVersion = new(uint64(e.Set.Version()))
	}
	if e.Route != nil {
		out.Route = routeOf(e)
	}
	var admission quota.Explanation
	if e.Workspace != nil {
		admission = v.explainQuota(e)
		out.Workspace = workspaceOf(e, &admission)
	}
	if e.Denial != nil {
		out.Outcome = refusalOf(e.Denial)
		if e.Route == nil {
			out.Nearest = nearestOf(e.Set, q)
		}
		return out, nil
	}
	sum := 0.0
	for i := range e.Parts {
		sum += e.Parts[i].Weight
	}
	for i := range e.Parts {
		part := v.explainPart(e, &e.Parts[i], &admission)
		if sum > 0 {
			part.Share = part.Weight / sum
		}
		out.Parts = append(out.Parts, part)
	}
	out.Outcome = outcomeOfParts(out.Parts)
	return out, nil
}

// explainQuota returns the admission by the quota of the workspace. Without a limit the
// request is admitted.
func (v *entryView) explainQuota(e *entry.Explanation) quota.Explanation {
	if !e.NeedsToken {
		return quota.Explanation{Decision: quota.Admits}
	}
	return v.quotas.Explain(e.Workspace.Name, e.Workspace.Quota)
}

func routeOf(e *entry.Explanation) *requestapi.RequestRoute {
	r := e.Route
	out := &requestapi.RequestRoute{
		Rule: e.Rule.String(), Path: r.Path, Name: optional(r.Name), Repeatable: r.Idempotent(), KeyHeader: optional(r.Key),
		Anonymous: r.Anonymous || !e.Set.HasWorkspaces(), Rank: e.Rank.String(),
	}
	if r.IsTableRoute() {
		out.TableVersion = new(uint64(e.Set.Version()))
	}
	if r.Target > 0 {
		out.TargetMs = new(r.Target.Milliseconds())
	}
	return out
}

// optional returns nil for an empty text.
func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

func nearestOf(set *contract.Set, q entry.Query) []*requestapi.NearRoute {
	out := []*requestapi.NearRoute{}
	for _, r := range set.Nearest(q.HostName(), q.Path, nearestRoutes) {
		out = append(out, &requestapi.NearRoute{Host: r.Host, Path: r.Path, Methods: append([]string{}, r.Methods...)})
	}
	return out
}

func workspaceOf(e *entry.Explanation, q *quota.Explanation) *requestapi.RequestWorkspace {
	w := e.Workspace
	out := &requestapi.RequestWorkspace{Name: string(w.Name), Limited: w.Quota.IsLimited(), Decision: "unlimited"}
	if !e.NeedsToken {
		return out
	}
	out.Rate, out.Burst, out.Decision, out.Keeper = &w.Quota.Rate, &w.Quota.Burst, decisionNames[q.Decision], optional(string(q.Keeper))
	if q.IsAgeKnown {
		out.AgeMs = new(q.Age.Milliseconds())
	}
	if q.IsKeptHere {
		out.Tokens = &q.Tokens
	}
	if q.IsUsed {
		out.Admitted, out.Refused = &q.Admitted, &q.Refused
	}
	return out
}

// explainPart explains a request at one service, in the order of the steps of real
// requests.
func (v *entryView) explainPart(e *entry.Explanation, part *entry.PartExplanation, admission *quota.Explanation) *requestapi.RequestPart {
	out := &requestapi.RequestPart{
		Service: string(part.Service), Weight: part.Weight, Share: 1, Groups: []*requestapi.RequestGroup{},
	}
	if part.Deadline > 0 {
		out.DeadlineMs = new(part.Deadline.Milliseconds())
	}
	if part.Denial != nil && part.IsBeforeToken {
		out.Outcome = refusalOf(part.Denial)
		return out
	}
	r := v.services.lookup(part.Service)
	if r == nil {
		// The service stopped after the handler found it.
		out.Outcome = &requestapi.RequestOutcome{Action: actionDepends, Reason: "the configuration is changing"}
		return out
	}
	pool := r.pool.Explain(part.Demand)
	for i := range pool.Groups {
		out.Groups = append(out.Groups, groupOf(&pool.Groups[i]))
	}
	switch {
	case admission.Denial != nil:
		out.Outcome = refusalOf(admission.Denial)
	case part.Denial != nil:
		out.Outcome = refusalOf(part.Denial)
	case pool.Denial != nil:
		out.Outcome = refusalOf(pool.Denial)
	default:
		out.Outcome = outcomeOfGroups(out.Groups)
	}
	if admission.Denial == nil {
		out.Outcome.Condition = optional(conditionOf(e, admission))
	}
	return out
}

// conditionOf returns what else has to decide on a request before a pool does, or "".
func conditionOf(e *entry.Explanation, q *quota.Explanation) string {
	var conditions []string
	switch {
	case q.Decision == quota.Draws:
		conditions = append(conditions, "no keeper of the workspace can be reached, and a random number gives this host its share of the limit")
	case e.NeedsToken && q.Decision == quota.AsksKeeper && q.Keeper == "":
		conditions = append(conditions, "a keeper of the workspace, which this host does not know yet, has to lend a token")
	case e.NeedsToken && q.Decision == quota.AsksKeeper:
		conditions = append(conditions, "host "+string(q.Keeper)+" has to lend a token of the workspace")
	}
	if e.Route.Key != "" {
		conditions = append(conditions, "the ledger has to accept the operation key in the header "+e.Route.Key)
	}
	return strings.Join(conditions, "; ")
}

func refusalOf(d *mustardramp.Denial) *requestapi.RequestOutcome {
	out := &requestapi.RequestOutcome{Action: actionRefuse, Kind: new(d.Kind.String()), Reason: d.Reason}
	if d.RetryAfter > 0 {
		out.RetryAfterMs = new(d.RetryAfter.Milliseconds())
	}
	return out
}

func groupOf(g *lease.GroupExplanation) *requestapi.RequestGroup {
	out := &requestapi.RequestGroup{
		Region: string(g.ID.Region), Part: g.ID.Part, Distance: distanceNames[g.Distance],
		Keeper: string(g.Keeper), KeptHere: g.IsKeptHere, Slots: int(g.Slots), Weight: g.Weight, Share: g.Share,
		Excluded: optional(g.Excluded), FreeCounts: g.IsFreeKnown && !g.IsFreeTooOld, Backends: []*requestapi.RequestBackend{},
	}
	if g.IsWaitKnown {
		out.WaitMs, out.WaitAgeMs = new(g.Wait.Milliseconds()), new(g.WaitAge.Milliseconds())
	}
	if g.IsFreeKnown {
		out.Free, out.FreeAgeMs = &g.Free, new(g.FreeAge.Milliseconds())
	}
	if g.Share > 0 {
		out.Outcome = outcomeOfGroup(g)
	}
	for i := range g.Backends {
		b := backendOf(&g.Backends[i], g.IsKeptHere)
		b.Chosen = g.Local != nil && b.ID == string(g.Local.Backend)
		out.Backends = append(out.Backends, b)
	}
	return out
}

func backendOf(b *lease.BackendExplanation, isKeptHere bool) *requestapi.RequestBackend {
	backend, excluded := &b.Standing.Backend, b.Excluded
	out := &requestapi.RequestBackend{
		ID: string(backend.ID), Zone: string(backend.Place.Zone), Region: string(backend.Place.Region), Slots: int(backend.Slots),
	}
	if load := b.Load; load != nil {
		if isKeptHere {
			out.InFlight = &load.InFlight
		}
		if load.HasEvidence {
			out.Risk = &load.Risk
		}
		switch {
		case excluded != "":
		case load.Leaving:
			excluded = "leaving, as it stated in an answer"
		case load.Hold > 0:
			excluded = "held for another " + load.Hold.Round(time.Millisecond).String() + " after it shed a request or could not be reached"
		}
	}
	out.Excluded = optional(excluded)
	return out
}

// outcomeOfGroup returns what happens to a request that goes to a group.
func outcomeOfGroup(g *lease.GroupExplanation) *requestapi.RequestOutcome {
	switch {
	case g.Denial != nil:
		return refusalOf(g.Denial)
	case g.Local != nil && g.Local.Backend != "" && g.Local.Probe:
		return &requestapi.RequestOutcome{Action: actionSend, WaitMs: new(int64(0)), Reason: "a backend without an attempt for too long gets it as a probe"}
	case g.Local != nil && g.Local.Backend != "":
		return &requestapi.RequestOutcome{Action: actionSend, WaitMs: new(int64(0)), Reason: "a slot is free"}
	case g.Local != nil:
		out := &requestapi.RequestOutcome{Action: actionWait, Reason: "no slot is free that the request accepts now"}
		if g.Local.IsWaitKnown {
			out.WaitMs = new(g.Local.Wait.Milliseconds())
		}
		if g.Local.IsQueueFull {
			out.Reason = "the queue of the rank is full: this request or another of the caller with the most is refused"
		}
		return out
	case g.IsWaitKnown && g.Wait > 0:
		return &requestapi.RequestOutcome{Action: actionWait, WaitMs: new(g.Wait.Milliseconds()), Reason: "its keeper decides, and reported a wait"}
	case g.IsWaitKnown:
		return &requestapi.RequestOutcome{Action: actionSend, WaitMs: new(int64(0)), Reason: "its keeper decides, and reported no wait that would last until now"}
	default:
		return &requestapi.RequestOutcome{Action: actionSend, Reason: "its keeper decides, and reported no wait yet"}
	}
}

// outcomeOfGroups returns the outcome of a request that goes to one of the groups.
func outcomeOfGroups(groups []*requestapi.RequestGroup) *requestapi.RequestOutcome {
	var outcomes []*requestapi.RequestOutcome
	for _, g := range groups {
		if g.Outcome != nil {
			outcomes = append(outcomes, g.Outcome)
		}
	}
	return combine(outcomes, "the random choice among the groups decides")
}

// outcomeOfParts returns the outcome of a request that goes to one of the parts.
func outcomeOfParts(parts []*requestapi.RequestPart) *requestapi.RequestOutcome {
	var outcomes []*requestapi.RequestOutcome
	for _, p := range parts {
		if p.Share > 0 {
			outcomes = append(outcomes, p.Outcome)
		}
	}
	return combine(outcomes, "the part of the split decides")
}

// combine returns the outcome that the outcomes share, or one that depends on the choice
// among them. The wait is the shortest one, and unknown if any of them is.
func combine(outcomes []*requestapi.RequestOutcome, choice string) *requestapi.RequestOutcome {
	if len(outcomes) == 0 {
		return &requestapi.RequestOutcome{Action: actionDepends, Reason: choice}
	}
	out := *outcomes[0]
	for _, o := range outcomes[1:] {
		if o.Action != out.Action || valueOf(o.Kind) != valueOf(out.Kind) {
			return &requestapi.RequestOutcome{Action: actionDepends, Condition: outcomes[0].Condition, Reason: choice}
		}
		if o.Reason != out.Reason {
			out.Reason = choice
		}
		out.WaitMs = shorter(out.WaitMs, o.WaitMs)
		out.RetryAfterMs = shorter(out.RetryAfterMs, o.RetryAfterMs)
	}
	return &out
}

// shorter returns the lower of two values, or nil if one of them is unknown.
func shorter(a, b *int64) *int64 {
	if a == nil || b == nil {
		return nil
	}
	return new(min(*a, *b))
}

func valueOf(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
