// Package list implements the command "contract list", which lists the
// contracts in force.
package list

import (
	"context"
	"strconv"

	api "github.com/mustardramp/mustardramp/gen/contract"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options holds the arguments and flags of the command.
type Options struct {
	factory.Remote

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the examples of the command's help text.
func (Options) Help() string {
	return `Examples:

  mustardramp contract list --admin 127.0.0.1:7003
  mustardramp contract list --json`
}

// Run prints the contracts in force at the host.
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
