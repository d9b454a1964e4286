// Package status implements the command "fleet status", which shows a host's
// view of the fleet.
package status

import (
	"context"
	"time"

	"github.com/mustardramp/mustardramp/gen/fleet"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// clearScreen is the escape sequence that moves the cursor to the top left and
// clears the terminal.
const clearScreen = "\x1b[H\x1b[2J"

// Options holds the arguments and flags of the command.
type Options struct {
	factory.Remote
	Watch bool          `help:"Print again until interrupted."`
	Every time.Duration `help:"Time between two prints with --watch." default:"2s"`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the examples of the command's help text.
func (Options) Help() string {
	return `Examples:

  mustardramp fleet status
  mustardramp fleet status --watch --every 5s`
}

// Run prints the host's view of the fleet, repeatedly with --watch.
func (o *Options) Run(ctx context.Context) error {
	client, err := o.Client(o.factory)
	if err != nil {
		return err
	}
	for {
		status, err := client.Fleet.Status(ctx, &fleet.StatusPayload{Token: o.Auth()})
		if err != nil {
			return err
		}
		if err := o.print(status); err != nil || !o.Watch {
			return err
		}
		timer := time.NewTimer(o.Every)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

func (o *Options) print(status *fleet.FleetStatus) error {
	if o.JSON {
		return o.factory.Streams.JSON(status)
	}
	if o.Watch && o.factory.Streams.Terminal {
		o.factory.Streams.Print("%s", clearScreen)
	}
	o.factory.Streams.Print("%s", Page(status))
	return nil
}
