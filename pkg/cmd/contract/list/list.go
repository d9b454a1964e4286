// Package list is the command contract list.
package list

import (
	"context"
	"strconv"

	api "github.com/mustardramp/mustardramp/gen/contract"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options are the flags of contract list.
type Options struct {
	factory.Remote

	factory *factory.Factory
}

// New returns the command.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help gives examples.
func (Options) Help() string {
	return `Examples:

  mustardramp contract list --admin 127.0.0.1:7003
  mustardramp contract list --json`
}

// Run lists the contracts in force.
func (o *Options) Run(ctx context.Context) error {
	client, err := o.Client(o.factory)
	if err != nil {
		return err
	}
	items, err := factory.Pages(func(after string) ([]*api.ContractSummary, string, error) {
		page, err := client.Contract.List(ctx, &api.ListPayload{Token: o.Auth(), After: &after, Limit: factory.PageSize})
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
	for i, c := range items {
		rows[i] = []string{
			c.Service,
			strconv.FormatUint(c.Revision, 10),
			strconv.Itoa(c.Routes),
			strconv.FormatFloat(c.Floor, 'g', -1, 64) + "%",
			factory.Text(c.Home),
			c.File,
		}
	}
	return o.factory.Streams.Table([]string{"service", "revision", "routes", "floor", "home", "file"}, rows)
}
