// Package list is the command metrics list.
package list

import (
	"context"
	"strconv"

	"github.com/mustardramp/mustardramp/gen/fleet"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options are the flags of metrics list.
type Options struct {
	factory.Remote
	Prefix string `arg:"" optional:"" help:"Only names that start with this."`

	factory *factory.Factory
}

// New returns the command.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help gives examples.
func (Options) Help() string {
	return `Examples:

  mustardramp metrics list latency/mohor
  mustardramp metrics list --json`
}

// Run lists the asked host's histograms.
func (o *Options) Run(ctx context.Context) error {
	client, err := o.Client(o.factory)
	if err != nil {
		return err
	}
	items, err := factory.Pages(func(after string) ([]*fleet.Histogram, string, error) {
		payload := &fleet.MetricsPayload{Token: o.Auth(), After: &after, Limit: factory.PageSize}
		if o.Prefix != "" {
			payload.Prefix = &o.Prefix
		}
		page, err := client.Fleet.Metrics(ctx, payload)
		if err != nil {
			return nil, "", err
		}
		return page.Items, page.Next, nil
	})
	if err != nil {
		return err
	}
	if o.JSON {
		return o.factory.Streams.JSON(items)
	}
	rows := make([][]string, len(items))
	for i, h := range items {
		rows[i] = []string{h.Name, strconv.FormatInt(h.Count, 10), number(h.Mean), number(h.P50), number(h.P99), number(h.Max), h.Unit}
	}
	return o.factory.Streams.Table([]string{"name", "count", "mean", "p50", "p99", "max", "unit"}, rows)
}

func number(f float64) string {
	return strconv.FormatFloat(f, 'f', 2, 64)
}
