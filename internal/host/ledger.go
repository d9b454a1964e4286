package host

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/admin"
	"github.com/mustardramp/mustardramp/internal/ledger"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/placement"
)

// ledgerHomes returns links to the members of each region's ledger group.
func (c *Common) ledgerHomes(config *tls.Config) map[mustardramp.Region][]link.Invoker {
	homes := map[mustardramp.Region][]link.Invoker{}
	for _, g := range placement.Groups(c.Control) {
		if g.Region == "" {
			continue
		}
		for _, m := range c.Control {
			if g.Has(m.Name) {
				homes[g.Region] = append(homes[g.Region], &link.Client{Address: m.Address, TLS: config})
			}
		}
	}
	return homes
}

// ledgerView serves the administration API with the ledgers of all regions.
type ledgerView struct{ client *ledger.Client }

// Show implements admin.Ledger.
func (v ledgerView) Show(ctx context.Context, id mustardramp.ClaimID) (admin.LedgerEntry, bool, error) {
	view, ok, err := v.find(ctx, id)
	return entryOf(view), ok, err
}

// find looks up the operation of a named caller, and then that of an unnamed
// caller. All callers that are known only by their address share the empty name,
// since a repeated request may come from another address.
func (v ledgerView) find(ctx context.Context, id mustardramp.ClaimID) (ledger.View, bool, error) {
	view, ok, err := v.client.Show(ctx, id)
	if ok || err != nil || id.Caller == "" {
		return view, ok, err
	}
	id.Caller = ""
	return v.client.Show(ctx, id)
}

// Settle implements admin.Ledger.
func (v ledgerView) Settle(ctx context.Context, id mustardramp.ClaimID, outcome mustardramp.Outcome, who, why string) (admin.LedgerEntry, error) {
	found, ok, err := v.find(ctx, id)
	if err != nil {
		return admin.LedgerEntry{}, err
	}
	if !ok {
		return admin.LedgerEntry{}, ErrHost.New("no ledger holds the key %q", id.Key)
	}
	view, err := v.client.Decide(ctx, found.ID, outcome, ledger.Operator{Name: who, Reason: why})
	return entryOf(view), err
}

func entryOf(v ledger.View) admin.LedgerEntry {
	return admin.LedgerEntry{
		ID:      v.ID,
		State:   v.State.String(),
		Host:    v.Host,
		Attempt: v.Attempt,
		Answer:  v.Answer,
		At:      time.UnixMilli(int64(v.Changed)),
	}
}
