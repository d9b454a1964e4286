package admin

import (
	"context"
	"strconv"
	"time"

	"github.com/mustardramp/mustardramp"
	api "github.com/mustardramp/mustardramp/gen/contract"
	"github.com/mustardramp/mustardramp/internal/registry"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// contracts serves the contract service of the API.
type contracts struct{ *server }

// Check returns every fault in contract files.
func (c contracts) Check(ctx context.Context, p *api.CheckPayload) (*api.CheckResult, error) {
	if c.Contracts == nil {
		return nil, unavailableError("contracts")
	}
	faults, err := c.Contracts.Check(ctx, filesOf(p.Files))
	if err != nil {
		return nil, newError(errUnavailable, "%v", err)
	}
	return &api.CheckResult{Faults: faultsOf(faults)}, nil
}

// Publish puts files in force as one change.
func (c contracts) Publish(ctx context.Context, p *api.PublishPayload) (*api.Change, error) {
	if c.Contracts == nil {
		return nil, unavailableError("contracts")
	}
	result, err := c.Contracts.Publish(ctx, registry.Command{
		Change: mustardramp.ChangeID(p.Change),
		Who:    p.Who,
		Why:    p.Why,
		At:     mustardramp.TimeOfDay(c.Clock.Now()),
		Files:  filesOf(p.Files),
	})
	if err != nil {
		return nil, newError(errUnavailable, "the change was not confirmed and may still take force: %v", err)
	}
	c.audit(ctx, "contract publish", p.Who, p.Why, "change", p.Change, "accepted", result.Change != nil)
	return publishedChange(result)
}

// publishedChange returns the change that was put in force, or the error that says
// why it was not.
func publishedChange(result registry.Result) (*api.Change, error) {
	switch {
	case result.Change != nil:
		return changeOf(*result.Change), nil
	case result.Conflict != nil:
		return nil, &api.Conflict{
			Name:       "conflict",
			Service:    string(result.Conflict.Service),
			Base:       uint64(result.Conflict.Base),
			Revision:   uint64(result.Conflict.Revision),
			Difference: result.Conflict.Difference,
		}
	case len(result.Faults) > 0:
		return nil, &api.Faults{Name: "faults", Faults: faultsOf(result.Faults)}
	case result.TableInForce > 0:
		return nil, newError(errInvalid, "routing table %d is in force and stays: publish a higher version", result.TableInForce)
	case result.Reused != nil:
		return nil, newError(errInvalid, "change id %s was used for another change by %s: take a new id", result.Reused.ID, result.Reused.Who)
	default:
		return nil, newError(errInvalid, "%s", result.DecodeError)
	}
}

// List lists the contracts in force.
func (c contracts) List(_ context.Context, p *api.ListPayload) (*api.ListResult, error) {
	if c.Contracts == nil {
		return nil, unavailableError("contracts")
	}
	entries := c.Contracts.InForce()
	items := make([]*api.ContractSummary, len(entries))
	for i, e := range entries {
		items[i] = summaryOf(e)
	}
	page, next := pageOf(items, func(s *api.ContractSummary) string { return s.Service }, p.After, p.Limit)
	return &api.ListResult{Items: page, Next: next}, nil
}

// Show returns the text and the summary of a contract.
func (c contracts) Show(ctx context.Context, p *api.ShowPayload) (*api.ShowResult, error) {
	if c.Contracts == nil {
		return nil, unavailableError("contracts")
	}
	e, ok, err := c.Contracts.Entry(ctx, mustardramp.ServiceName(p.Service), mustardramp.Revision(p.Revision))
	if err != nil {
		return nil, newError(errUnavailable, "%v", err)
	}
	if !ok {
		return nil, newError(errNotFound, "no contract of service %q at that revision", p.Service)
	}
	return &api.ShowResult{Summary: summaryOf(e), Source: string(e.Source)}, nil
}

// Log lists the accepted changes, newest first.
func (c contracts) Log(ctx context.Context, p *api.LogPayload) (*api.LogResult, error) {
	if c.Contracts == nil {
		return nil, unavailableError("contracts")
	}
	before, err := parseIndex(valueOf(p.After))
	if err != nil {
		return nil, newError(errInvalid, "after is not a cursor")
	}
	changes, err := c.Contracts.Changes(ctx, before, mustardramp.ServiceName(valueOf(p.Service)), p.Limit)
	if err != nil {
		return nil, newError(errUnavailable, "%v", err)
	}
	result := &api.LogResult{Items: make([]*api.Change, len(changes))}
	for i, change := range changes {
		result.Items[i] = changeOf(change)
	}
	if len(changes) == p.Limit {
		result.Next = strconv.FormatUint(uint64(changes[len(changes)-1].Index), 10)
	}
	return result, nil
}

// parseIndex parses a cursor. An empty one is index 0.
func parseIndex(s string) (mustardramp.Index, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	return mustardramp.Index(n), err
}

func filesOf(files []*api.ContractFile) []registry.File {
	out := make([]registry.File, len(files))
	for i, f := range files {
		out[i] = registry.File{Name: f.Name, Source: []byte(f.Source), Base: mustardramp.Revision(f.Base)}
	}
	return out
}

func faultsOf(faults contract.Faults) []*api.Fault {
	out := make([]*api.Fault, len(faults))
	for i, f := range faults {
		out[i] = &api.Fault{File: f.File, Line: f.Line, Column: f.Column, Reason: f.Reason, Remedy: f.Remedy}
	}
	return out
}

func changeOf(c registry.Change) *api.Change {
	out := &api.Change{
		ID:    string(c.ID),
		Index: uint64(c.Index),
		Who:   c.Who,
		Why:   c.Why,
		At:    c.At.UTC().Format(time.RFC3339),
	}
	for _, s := range c.Services {
		out.Services = append(out.Services, &api.ServiceRevision{Service: string(s.Service), Revision: uint64(s.Revision)})
	}
	return out
}

func summaryOf(e registry.Entry) *api.ContractSummary {
	out := &api.ContractSummary{
		Service:  string(e.Service),
		Revision: uint64(e.Revision),
		Index:    uint64(e.Index),
		File:     e.File,
	}
	if c, err := contract.Parse(e.File, e.Source); err == nil {
		out.Routes = len(c.Routes)
		out.Floor = float64(c.Floor)
		out.Home = optional(string(c.Home))
	}
	return out
}
