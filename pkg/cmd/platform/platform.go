// Package platform holds the commands that run hosts on the users' platform,
// with the settings file that it writes.
package platform

import (
	"context"

	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
	"github.com/mustardramp/mustardramp/platform"
)

// Entry runs an entry host.
type Entry struct {
	factory *factory.Factory
}

// NewEntry returns the command.
func NewEntry(f *factory.Factory) Entry {
	return Entry{factory: f}
}

// Help says where the settings stand.
func (Entry) Help() string {
	return "The settings stand in the file that " + platform.NodeFileVariable + " names."
}

// Run serves until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	return explain(factory.WithLogs(func() error {
		return platform.RunEntry(ctx, e.factory.CutContext())
	}))
}

// Control runs a control host.
type Control struct{}

// Help says where the settings stand.
func (Control) Help() string {
	return "The settings stand in the file that " + platform.NodeFileVariable + " names."
}

// Run serves until the context ends.
func (*Control) Run(ctx context.Context) error {
	return explain(factory.WithLogs(func() error {
		return platform.RunControl(ctx)
	}))
}

func explain(err error) error {
	if platform.ErrNodeFile.Has(err) {
		return &factory.Problem{Code: factory.ExitUsage, Reason: err.Error(), Remedy: "mend the settings and start again"}
	}
	return err
}
