// Package settle implements the command "ledger settle", which records the
// outcome of an operation.
package settle

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
	Outcome string `arg:"" enum:"ran,not-run" help:"What was found out: ran or not-run."`
	Why     string `required:"" help:"Evidence, for the audit log."`
	Who     string `help:"Author, for the audit log." env:"MUSTARDRAMP_WHO" default:"operator"`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the description and the examples of the command's help text.
func (Options) Help() string {
	return `Only an operation whose outcome is unknown can be settled. After not-run the
key may be dispatched again: be sure.

Examples:

  mustardramp ledger settle mohor clerk-12 5f1c0d1e ran --why "serial 118 found in the register"`
}

// Run records the outcome that the operator determined.
func (o *Options) Run(ctx context.Context) error {
	client, err := o.Client(o.factory)
	if err != nil {
		return err
	}
	entry, err := client.Ledger.Settle(ctx, &api.SettlePayload{
		Token: o.Auth(), Service: o.Service, Caller: o.Caller, Key: o.Key,
		Outcome: o.Outcome, Who: o.Who, Why: o.Why,
	})
	if err != nil {
		return err
	}
	if o.JSON {
		return o.factory.Streams.JSON(entry)
	}
	o.factory.Streams.Print("%s %s %s is %s\n", entry.Service, entry.Caller, entry.Key, entry.State)
	return nil
}
