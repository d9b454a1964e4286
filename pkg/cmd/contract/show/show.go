// Package show is the command contract show.
package show

import (
	"context"

	api "github.com/mustardramp/mustardramp/gen/contract"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options are the flags of contract show.
type Options struct {
	factory.Remote
	Service  string `arg:"" help:"Service."`
	Revision uint64 `help:"Revision; the default is the one in force."`

	factory *factory.Factory
}

// New returns the command.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help gives examples.
func (Options) Help() string {
	return `Examples:

  mustardramp contract show mohor
  mustardramp contract show mohor --revision 2 > mohor.yaml`
}

// Run prints a contract's text.
func (o *Options) Run(ctx context.Context) error {
	client, err := o.Client(o.factory)
	if err != nil {
		return err
	}
	shown, err := client.Contract.Show(ctx, &api.ShowPayload{Token: o.Auth(), Service: o.Service, Revision: o.Revision})
	if err != nil {
		return err
	}
	if o.JSON {
		return o.factory.Streams.JSON(shown)
	}
	o.factory.Streams.Print("%s", shown.Source)
	return nil
}
