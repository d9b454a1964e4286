// Package platform implements the commands "platform entry" and "platform control",
// which run hosts on the users' platform with the settings file that the platform
// writes.
package platform

import (
	"context"

	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
	"github.com/mustardramp/mustardramp/platform"
)

// Entry is the command that runs an entry host.
type Entry struct {
	factory *factory.Factory
}

// NewEntry returns the command that runs an entry host.
func NewEntry(f *factory.Factory) Entry {
	return Entry{factory: f}
}

// Help returns the description of the command's help text.
func (Entry) Help() string {
	return "The settings stand in the file that " + platform.NodeFileVariable + " names."
}

// Run runs the host until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	return explainError(factory.WithLogs(func() error {
		return platform.RunEntry(ctx, e.factory.ForceStopContext())
	}))
}

// Control is the command that runs a control host.
type Control struct{}

// Help returns the description of the command's help text.
func (Control) Help() string {
	return "The settings stand in the file that " + platform.NodeFileVariable + " names."
}

// Run runs the host until the context ends.
func (*Control) Run(ctx context.Context) error {
	return explainError(factory.WithLogs(func() error {
		return platform.RunControl(ctx)
	}))
}

// explainError turns an error in the settings into a Problem with a remedy.
func explainError(err error) error {
	if platform.ErrNodeFile.Has(err) {
		return &factory.Problem{Code: factory.ExitUsage, Reason: err.Error(), Remedy: "mend the settings and start again"}
	}
	return err
}
