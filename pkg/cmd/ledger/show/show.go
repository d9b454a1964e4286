// Package show implements the command "ledger show", which shows the ledger
// entry of an operation.
package show

import (
	"context"

	api "github.com/mustardramp/mustardramp/gen/ledger"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options holds the arguments and flags of the command.
type Options struct {
	factory.Remote
	Service string `arg:"" help:"Service."`
	Caller  string `arg:"" help:"Caller."`
	Key     string `arg:"" help:"The operation's key."`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the examples of the command's help text.
func (Options) Help() string {
	return `Examples:

  mustardramp ledger show mohor clerk-12 5f1c0d1e`
}

// Run prints the ledger entry of the operation.
func (o *Options) Run(ctx context.Context) error {
	client, err := o.Client(o.factory)
	if err != nil {
		return err
	}
	entry, err := client.Ledger.Show(ctx, &api.ShowPayload{Token: o.Auth(), Service: o.Service, Caller: o.Caller, Key: o.Key})
	if err != nil {
		return err
	}
	if o.JSON {
		return o.factory.Streams.JSON(entry)
	}
	rows := [][]string{{entry.Service, factory.Text(&entry.Caller), entry.Key, entry.State, factory.Text(entry.Host), factory.Text(entry.At)}}
	return o.factory.Streams.Table([]string{"service", "caller", "key", "state", "host", "at"}, rows)
}
