// Package show implements the command "workspace show", which shows the limits, the use
// and the refusals of a workspace.
package show

import (
	"context"
	"fmt"
	"strings"

	api "github.com/mustardramp/mustardramp/gen/workspace"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options holds the arguments and flags of the command.
type Options struct {
	factory.Remote
	Name string `arg:"" help:"Name of the workspace."`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the description and the examples of the command's help text.
func (Options) Help() string {
	return `Requests are those that the asked host counted; other hosts have their own.

Examples:

  mustardramp workspace show acme
  mustardramp workspace show acme --json`
}

// Run prints the workspace.
func (o *Options) Run(ctx context.Context) error {
	client, err := o.Client(o.factory)
	if err != nil {
		return err
	}
	w, err := client.Workspace.Show(ctx, &api.ShowPayload{Token: o.Auth(), Name: o.Name})
	if err != nil {
		return err
	}
	if o.JSON {
		return o.factory.Streams.JSON(w)
	}
	o.factory.Streams.Print("%s", page(w))
	return nil
}

// page returns the workspace as text of several lines.
func page(w *api.Workspace) string {
	var b strings.Builder
	line := func(name, format string, args ...any) {
		fmt.Fprintf(&b, "%-9s %s\n", name, fmt.Sprintf(format, args...))
	}
	line("workspace", "%s, %d keys", w.Name, w.Keys)
	switch {
	case w.Rate > 0:
		line("limit", "%g requests a second over all hosts, burst %d", w.Rate, w.Burst)
	default:
		line("limit", "none")
	}
	if w.Rank != nil {
		line("rank", "%s, in place of that of the route", *w.Rank)
	}
	line("requests", "%d at this host, %d served", w.Requests, w.Served)
	for _, r := range w.Refused {
		line("refused", "%d %s", r.Count, r.Kind)
	}
	return b.String()
}
