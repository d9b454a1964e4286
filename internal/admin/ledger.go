package admin

import (
	"context"
	"time"

	"github.com/mustardramp/mustardramp"
	api "github.com/mustardramp/mustardramp/gen/ledger"
)

// ledger serves the ledger service of the API.
type ledger struct{ *server }

// Show returns the ledger entry of an operation.
func (l ledger) Show(ctx context.Context, p *api.ShowPayload) (*api.LedgerEntry, error) {
	if l.Ledger == nil {
		return nil, unavailableError("a ledger")
	}
	e, ok, err := l.Ledger.Show(ctx, claimOf(p.Service, p.Caller, p.Key))
	if err != nil {
		return nil, newError(errUnavailable, "%v", err)
	}
	if !ok {
		return nil, newError(errNotFound, "the ledger holds no key %q of caller %q for service %q", p.Key, p.Caller, p.Service)
	}
	return entryOf(e), nil
}

// Settle records the outcome of an operation that an operator found out.
func (l ledger) Settle(ctx context.Context, p *api.SettlePayload) (*api.LedgerEntry, error) {
	if l.Ledger == nil {
		return nil, unavailableError("a ledger")
	}
	outcome := mustardramp.NotRun
	if p.Outcome == mustardramp.Ran.String() {
		outcome = mustardramp.Ran
	}
	e, err := l.Ledger.Settle(ctx, claimOf(p.Service, p.Caller, p.Key), outcome, p.Who, p.Why)
	l.audit(ctx, "ledger settle", p.Who, p.Why, "service", p.Service, "caller", p.Caller, "key", p.Key, "outcome", p.Outcome, "accepted", err == nil)
	if err != nil {
		return nil, newError(errInvalid, "%v", err)
	}
	return entryOf(e), nil
}

func claimOf(service, caller, key string) mustardramp.ClaimID {
	return mustardramp.ClaimID{
		Service: mustardramp.ServiceName(service),
		Caller:  mustardramp.CallerName(caller),
		Key:     mustardramp.OperationKey(key),
	}
}

func entryOf(e LedgerEntry) *api.LedgerEntry {
	out := &api.LedgerEntry{
		Service: string(e.ID.Service),
		Caller:  string(e.ID.Caller),
		Key:     string(e.ID.Key),
		State:   e.State,
		Host:    optional(string(e.Host)),
		Attempt: &e.Attempt,
	}
	if e.Answer != nil {
		out.Status = &e.Answer.Status
	}
	if !e.At.IsZero() {
		out.At = optional(e.At.UTC().Format(time.RFC3339))
	}
	return out
}
