// Package list implements the command "workspace list", which lists the workspaces in
// force at a host.
package list

import (
	"context"
	"strconv"

	"github.com/mustardramp/mustardramp/gen/workspace"
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

// Help returns the description and the examples of the command's help text.
func (Options) Help() string {
	return `Requests are those that the asked host counted; other hosts have their own.

Examples:

  mustardramp workspace list
  mustardramp workspace list --json`
}

// Run prints the workspaces.
func (o *Options) Run(ctx context.Context) error {
	client, err := o.Client(o.factory)
	if err != nil {
		return err
	}
	items, err := factory.Pages(func(after string) ([]*workspace.Workspace, string, error) {
		page, err := client.Workspace.List(ctx, &workspace.ListPayload{Token: o.Auth(), After: &after, Limit: factory.PageSize})
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
	for i, w := range items {
		rank := ""
		if w.Rank != nil {
			rank = *w.Rank
		}
		rows[i] = []string{
			w.Name, strconv.Itoa(w.Keys), strconv.FormatFloat(w.Rate, 'g', -1, 64), strconv.Itoa(w.Burst), rank,
			strconv.FormatInt(w.Served, 10), strconv.FormatInt(w.Requests-w.Served, 10),
		}
	}
	return o.factory.Streams.Table([]string{"workspace", "keys", "rate", "burst", "rank", "served", "refused"}, rows)
}
