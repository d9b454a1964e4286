// Package show implements the command "contract show", which prints a contract.
package show

import (
	"context"

	api "github.com/mustardramp/mustardramp/gen/contract"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options holds the arguments and flags of the command.
type Options struct {
	factory.Remote
	Service  string `arg:"" help:"Service."`
	Revision uint64 `help:"Revision; the default is the one in force."`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the examples of the command's help text.
func (Options) Help() string {
	return `Examples:

  mustardramp contract show mohor
  mustardramp contract show mohor --revision 2 > mohor.yaml`
}

// Run prints the text of a contract.
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
