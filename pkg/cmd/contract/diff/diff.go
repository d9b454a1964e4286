// Package diff implements the command "contract diff", which compares contract
// files with the contracts in force.
package diff

import (
	"context"
	"strconv"

	"github.com/pmezard/go-difflib/difflib"

	api "github.com/mustardramp/mustardramp/gen/contract"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// contextLines is the number of unchanged lines around a change.
const contextLines = 2

// Options holds the arguments and flags of the command.
type Options struct {
	factory.Remote
	Files []string `arg:"" help:"Contract files, or folders of them."`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the examples of the command's help text.
func (Options) Help() string {
	return `Examples:

  mustardramp contract diff examples/sutradhar
  mustardramp contract diff mohor.yaml`
}

// Run prints a unified diff from the contracts in force to the files.
func (o *Options) Run(ctx context.Context) error {
	files, faults, err := factory.ReadContracts(o.Files)
	if err != nil {
		return err
	}
	if len(faults) > 0 {
		return &factory.Problem{Code: factory.ExitFaults, Reason: faults[0].String(), Remedy: "run 'contract check' for all faults"}
	}
	client, err := o.Client(o.factory)
	if err != nil {
		return err
	}
	for _, f := range files {
		service := string(f.Contract.Service)
		inForce, revision := "", uint64(0)
		shown, err := client.Contract.Show(ctx, &api.ShowPayload{Token: o.Auth(), Service: service})
		switch {
		case err == nil:
			inForce, revision = shown.Source, shown.Summary.Revision
		case factory.Explain(err).Code != factory.ExitNotFound:
			return err
		}
		text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
			A:        difflib.SplitLines(inForce),
			B:        difflib.SplitLines(string(f.Source)),
			FromFile: service + "@" + strconv.FormatUint(revision, 10),
			ToFile:   f.Name,
			Context:  contextLines,
		})
		if err != nil {
			return err
		}
		o.factory.Streams.Print("%s", text)
	}
	return nil
}
