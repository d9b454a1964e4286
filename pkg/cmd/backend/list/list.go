// Package list implements the command "backend list", which lists backends and
// their standing.
package list

import (
	"context"
	"strconv"
	"time"

	"github.com/mustardramp/mustardramp/gen/fleet"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options holds the arguments and flags of the command.
type Options struct {
	factory.Remote
	Service string `arg:"" optional:"" help:"Only backends of this service."`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the examples of the command's help text.
func (Options) Help() string {
	return `Examples:

  mustardramp backend list
  mustardramp backend list mohor --admin 127.0.0.1:7003`
}

// Run prints the backends with their standing as decided by the host.
func (o *Options) Run(ctx context.Context) error {
	client, err := o.Client(o.factory)
	if err != nil {
		return err
	}
	items, err := factory.Pages(func(after string) ([]*fleet.BackendStanding, string, error) {
		payload := &fleet.BackendsPayload{Token: o.Auth(), After: &after, Limit: factory.PageSize}
		if o.Service != "" {
			payload.Service = &o.Service
		}
		page, err := client.Fleet.Backends(ctx, payload)
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
	for i, b := range items {
		rows[i] = []string{
			b.ID, b.Zone, strconv.Itoa(b.Slots), b.State, b.Standing,
			strconv.FormatFloat(b.Weight, 'f', 2, 64), b.Cause, statedText(b),
		}
	}
	return o.factory.Streams.Table([]string{"backend", "zone", "slots", "state", "standing", "weight", "cause", "stated"}, rows)
}

// statedText describes what a backend stated in an answer to the host.
func statedText(b *fleet.BackendStanding) string {
	if b.Stated == "" {
		return ""
	}
	text := b.Stated
	if b.Quiet > 0 {
		text += " for " + (time.Duration(b.Quiet) * time.Millisecond).String()
	}
	return text + ", answered " + (time.Duration(b.Age) * time.Millisecond).String() + " ago"
}
