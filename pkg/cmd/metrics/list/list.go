// Package list implements the command "metrics list", which lists a host's
// histograms.
package list

import (
	"context"
	"strconv"

	"github.com/mustardramp/mustardramp/gen/fleet"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options holds the arguments and flags of the command.
type Options struct {
	factory.Remote
	Prefix string `arg:"" optional:"" help:"Only names that start with this."`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the examples of the command's help text.
func (Options) Help() string {
	return `Examples:

  mustardramp metrics list latency/mohor
  mustardramp metrics list --json`
}

// Run prints the histograms of the host.
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
		rows[i] = []string{h.Name, strconv.FormatInt(h.Count, 10), formatNumber(h.Mean), formatNumber(h.P50), formatNumber(h.P99), formatNumber(h.Max), h.Unit}
	}
	return o.factory.Streams.Table([]string{"name", "count", "mean", "p50", "p99", "max", "unit"}, rows)
}

func formatNumber(f float64) string {
	return strconv.FormatFloat(f, 'f', 2, 64)
}
