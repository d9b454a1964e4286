// Package check is the command contract check.
package check

import (
	"context"

	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options are the flags of contract check.
type Options struct {
	Files []string `arg:"" help:"Contract files, or folders of them."`
	JSON  bool     `help:"Print JSON."`

	factory *factory.Factory
}

// New returns the command.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help gives examples.
func (Options) Help() string {
	return `Examples:

  mustardramp contract check examples/sutradhar
  mustardramp contract check mohor.yaml --json`
}

// Run reports every fault in the files.
func (o *Options) Run(_ context.Context) error {
	files, faults, err := factory.ReadContracts(o.Files)
	if err != nil {
		return err
	}
	if o.JSON {
		if err := o.factory.Streams.JSON(faults); err != nil {
			return err
		}
	}
	if len(faults) == 0 {
		if !o.JSON {
			o.factory.Streams.Print("%d contracts without faults\n", len(files))
		}
		return nil
	}
	if !o.JSON {
		for _, fault := range faults {
			o.factory.Streams.Print("%s\n", fault)
		}
	}
	return &factory.Problem{Code: factory.ExitFaults, Reason: "the files have faults", Remedy: "mend the lines above"}
}
