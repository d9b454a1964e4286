// Package status is the command fleet status.
package status

import (
	"context"
	"time"

	"github.com/mustardramp/mustardramp/gen/fleet"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// clearScreen moves the cursor home and clears a terminal.
const clearScreen = "\x1b[H\x1b[2J"

// Options are the flags of fleet status.
type Options struct {
	factory.Remote
	Watch bool          `help:"Print again until interrupted."`
	Every time.Duration `help:"Time between two prints with --watch." default:"2s"`

	factory *factory.Factory
}

// New returns the command.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help gives examples.
func (Options) Help() string {
	return `Examples:

  mustardramp fleet status
  mustardramp fleet status --watch --every 5s`
}

// Run prints the asked host's view of the fleet.
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
