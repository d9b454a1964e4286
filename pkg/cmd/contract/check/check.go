// Package check implements the command "contract check", which reports faults
// in contract files.
package check

import (
	"context"

	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options holds the arguments and flags of the command.
type Options struct {
	Files []string `arg:"" help:"Contract files, or folders of them."`
	JSON  bool     `help:"Print JSON."`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the examples of the command's help text.
func (Options) Help() string {
	return `Examples:

  mustardramp contract check examples/sutradhar
  mustardramp contract check mohor.yaml --json`
}

// Run prints every fault in the files. It returns a Problem with the code
// ExitFaults if there is one.
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
