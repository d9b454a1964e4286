package admin

import (
	"context"

	api "github.com/mustardramp/mustardramp/gen/fleet"
)

// fleet serves the fleet service of the API.
type fleet struct{ *server }

// Status returns the host's view of the fleet.
func (f fleet) Status(context.Context, *api.StatusPayload) (*api.FleetStatus, error) {
	if f.Fleet == nil {
		return nil, unavailableError("a view of the fleet")
	}
	return f.Fleet.Status(), nil
}

// Backends lists backends with their standings.
func (f fleet) Backends(_ context.Context, p *api.BackendsPayload) (*api.BackendsResult, error) {
	if f.Fleet == nil {
		return nil, unavailableError("backends")
	}
	page, next := pageOf(f.Fleet.Backends(valueOf(p.Service)), func(b *api.BackendStanding) string { return b.ID }, p.After, p.Limit)
	return &api.BackendsResult{Items: page, Next: next}, nil
}

// Drain stops the host gracefully.
func (f fleet) Drain(ctx context.Context, p *api.DrainPayload) error {
	if f.Fleet == nil {
		return unavailableError("traffic")
	}
	f.audit(ctx, "host drain", p.Who, p.Why)
	f.Fleet.Drain(p.Who, p.Why)
	return nil
}

// Metrics lists the host's histograms.
func (f fleet) Metrics(_ context.Context, p *api.MetricsPayload) (*api.MetricsResult, error) {
	if f.Fleet == nil {
		return nil, unavailableError("histograms")
	}
	page, next := pageOf(f.Fleet.Histograms(valueOf(p.Prefix)), func(h *api.Histogram) string { return h.Name }, p.After, p.Limit)
	return &api.MetricsResult{Items: page, Next: next}, nil
}
