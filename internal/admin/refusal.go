package admin

import (
	"context"
	"time"

	"github.com/mustardramp/mustardramp"
	api "github.com/mustardramp/mustardramp/gen/refusal"
	"github.com/mustardramp/mustardramp/internal/refusal"
)

// refusals serves the refusal service of the API.
type refusals struct{ *server }

// Show returns a refusal by its id or by the caller's request id. It asks the host
// that the id names if that is another one.
func (s refusals) Show(ctx context.Context, p *api.ShowPayload) (*api.Refusal, error) {
	if r, ok := s.find(p.ID); ok {
		return s.explain(ctx, r), nil
	}
	host, ok := refusal.HostOf(mustardramp.RefusalID(p.ID))
	if ok && host != s.Host {
		if address, known := s.awaitHost(ctx, host); known {
			return s.forwardShow(ctx, host, address, p)
		}
		return nil, newError(errNotFound, "host %s, which the id names, is not known to host %s", host, s.Host)
	}
	if s.Refusals == nil {
		return nil, newError(errUnavailable, "this host refuses no calls: ask an entry host")
	}
	return nil, newError(errNotFound, "host %s remembers no refusal %q", s.Host, p.ID)
}

// find looks up an id in this host's store, first as the id of a refusal and then
// as a request id.
func (s refusals) find(id string) (mustardramp.Refusal, bool) {
	if s.Refusals == nil {
		return mustardramp.Refusal{}, false
	}
	if r, ok := s.Refusals.ByID(mustardramp.RefusalID(id)); ok {
		return r, true
	}
	if found := s.Refusals.ByRequest(id); len(found) > 0 {
		return found[0], true
	}
	return mustardramp.Refusal{}, false
}

const (
	// joinTimeout bounds the wait until this host knows a host that has just
	// joined. All hosts know it within 2 s (docs/design/dissemination.md).
	joinTimeout = 2 * time.Second
	// joinPollInterval is the time between two lookups of such a host.
	joinPollInterval = 50 * time.Millisecond
)

// awaitHost returns the address of a host's administration API and waits for a
// host that is not known yet: a host that has just joined may refuse calls before
// all others know it.
func (s refusals) awaitHost(ctx context.Context, host mustardramp.HostName) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	ticker := time.NewTicker(joinPollInterval)
	defer ticker.Stop()
	for {
		if address, known := s.hostAddress(host); known {
			return address, true
		}
		select {
		case <-ctx.Done():
			return "", false
		case <-ticker.C:
		}
	}
}

func (s refusals) hostAddress(host mustardramp.HostName) (string, bool) {
	if s.Fleet == nil {
		return "", false
	}
	return s.Fleet.Admin(host)
}

// forwardShow asks the host that refused the call for the refusal.
func (s refusals) forwardShow(ctx context.Context, host mustardramp.HostName, address string, p *api.ShowPayload) (*api.Refusal, error) {
	if s.Dial == nil {
		return nil, newError(errUnavailable, "host %s refused the call: ask its administration API at %s", host, address)
	}
	client, err := s.Dial(address)
	if err != nil {
		return nil, newError(errUnavailable, "host %s at %s: %v", host, address, err)
	}
	token := s.Token
	r, err := client.Refusal.Show(ctx, &api.ShowPayload{Token: &token, ID: p.ID})
	if err != nil {
		return nil, newError(errUnavailable, "host %s at %s refused the call and cannot be asked: %v", host, address, err)
	}
	return r, nil
}

// List lists this host's refusals, newest first.
func (s refusals) List(_ context.Context, p *api.ListPayload) (*api.ListResult, error) {
	if s.Refusals == nil {
		return nil, newError(errUnavailable, "this host refuses no calls: ask an entry host")
	}
	var since time.Time
	if p.Since != nil {
		parsed, err := time.Parse(time.RFC3339, *p.Since)
		if err != nil {
			return nil, newError(errInvalid, "since is not a time of RFC 3339")
		}
		since = parsed
	}
	found := s.Refusals.ByCaller(mustardramp.CallerName(valueOf(p.Caller)), since, mustardramp.TimeOfDay(s.Clock.Now()))
	result := &api.ListResult{}
	skip := p.After != nil && *p.After != ""
	for _, r := range found {
		if skip {
			skip = string(r.ID) != *p.After
			continue
		}
		if p.Service != nil && string(r.Rule.Service) != *p.Service {
			continue
		}
		if len(result.Items) == p.Limit {
			result.Next = result.Items[len(result.Items)-1].ID
			break
		}
		result.Items = append(result.Items, refusalOf(r))
	}
	return result, nil
}

// explain converts a refusal and adds the text of its rule and its ledger entry.
func (s refusals) explain(ctx context.Context, r mustardramp.Refusal) *api.Refusal {
	out := refusalOf(r)
	s.addRule(ctx, out, r.Rule)
	s.addEntry(ctx, out, r)
	return out
}

func (s refusals) addRule(ctx context.Context, out *api.Refusal, rule mustardramp.Rule) {
	if s.Contracts == nil || rule.Service == "" {
		return
	}
	e, ok, err := s.Contracts.Entry(ctx, rule.Service, rule.Revision)
	if err != nil || !ok {
		return
	}
	out.RuleFile = optional(e.File)
	out.RuleText = optional(lineOf(e.Source, rule.Line))
}

func (s refusals) addEntry(ctx context.Context, out *api.Refusal, r mustardramp.Refusal) {
	if s.Ledger == nil || r.Key == "" {
		return
	}
	id := mustardramp.ClaimID{Service: r.Rule.Service, Caller: r.Caller, Key: r.Key}
	if e, ok, err := s.Ledger.Show(ctx, id); err == nil && ok {
		out.Ledger = &api.LedgerEntry{
			Service: string(e.ID.Service),
			Caller:  string(e.ID.Caller),
			Key:     string(e.ID.Key),
			State:   e.State,
			Host:    optional(string(e.Host)),
		}
	}
}

func refusalOf(r mustardramp.Refusal) *api.Refusal {
	out := &api.Refusal{
		ID:        string(r.ID),
		Kind:      r.Kind.String(),
		Operation: r.Verdict.Operation.String(),
		Sending:   r.Verdict.Sending.String(),
		Rule:      r.Rule.String(),
		Reason:    r.Reason,
		Advice:    Advice(r),
		At:        r.At.UTC().Format(time.RFC3339Nano),
		Host:      string(r.Host),
		Caller:    string(r.Caller),
		Request:   optional(r.Request),
		Key:       optional(string(r.Key)),
		Method:    r.Method,
		Path:      r.Path,
		Rank:      r.Rank.String(),
		Backend:   optional(string(r.Backend)),
		Attempts:  r.Attempts,
	}
	if r.RetryAfter > 0 {
		ms := r.RetryAfter.Milliseconds()
		out.RetryAfterMs = &ms
	}
	for _, f := range r.Facts {
		out.Facts = append(out.Facts, &api.Fact{Name: f.Name, Value: f.Value})
	}
	return out
}
