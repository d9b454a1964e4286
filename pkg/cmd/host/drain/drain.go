// Package drain implements the command "host drain", which stops a host gracefully.
package drain

import (
	"context"

	"github.com/mustardramp/mustardramp/gen/fleet"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options holds the arguments and flags of the command.
type Options struct {
	factory.Remote
	Why string `required:"" help:"Reason, for the audit log."`
	Who string `help:"Author, for the audit log." env:"MUSTARDRAMP_WHO" default:"operator"`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the description and the examples of the command's help text.
func (Options) Help() string {
	return `The host that --admin names stops gracefully: it takes no new work, finishes
the requests in flight however long they last, and ends.

Examples:

  mustardramp host drain --admin 127.0.0.1:7003 --why "kernel upgrade"`
}

// Run tells the host to drain. It does not wait for the end of the host.
func (o *Options) Run(ctx context.Context) error {
	client, err := o.Client(o.factory)
	if err != nil {
		return err
	}
	if err := client.Fleet.Drain(ctx, &fleet.DrainPayload{Token: o.Auth(), Who: o.Who, Why: o.Why}); err != nil {
		return err
	}
	o.factory.Streams.Print("draining %s; requests in flight finish first\n", o.Admin)
	return nil
}
