// Package diff is the command contract diff.
package diff

import (
	"context"
	"strconv"

	"github.com/pmezard/go-difflib/difflib"

	api "github.com/mustardramp/mustardramp/gen/contract"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// contextLines is the number of equal lines around a difference.
const contextLines = 2

// Options are the flags of contract diff.
type Options struct {
	factory.Remote
	Files []string `arg:"" help:"Contract files, or folders of them."`

	factory *factory.Factory
}

// New returns the command.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help gives examples.
func (Options) Help() string {
	return `Examples:

  mustardramp contract diff examples/sutradhar
  mustardramp contract diff mohor.yaml`
}

// Run prints the difference from the contracts in force to the files.
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
