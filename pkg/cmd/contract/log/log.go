// Package log implements the command "contract log", which lists published changes.
package log

import (
	"context"
	"strconv"
	"strings"

	api "github.com/mustardramp/mustardramp/gen/contract"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options holds the arguments and flags of the command.
type Options struct {
	factory.Remote
	Service string `arg:"" optional:"" help:"Only changes of this service."`
	Limit   int    `help:"Most changes to print." default:"20"`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the examples of the command's help text.
func (Options) Help() string {
	return `Examples:

  mustardramp contract log
  mustardramp contract log mohor --limit 5`
}

// Run prints the accepted changes, newest first.
func (o *Options) Run(ctx context.Context) error {
	client, err := o.Client(o.factory)
	if err != nil {
		return err
	}
	payload := &api.LogPayload{Token: o.Auth(), Limit: o.Limit}
	if o.Service != "" {
		payload.Service = &o.Service
	}
	page, err := client.Contract.Log(ctx, payload)
	if err != nil {
		return err
	}
	if o.JSON {
		return o.factory.Streams.JSON(page.Items)
	}
	rows := make([][]string, len(page.Items))
	for i, c := range page.Items {
		rows[i] = []string{strconv.FormatUint(c.Index, 10), c.At, c.Who, formatServices(c), c.Why, c.ID}
	}
	return o.factory.Streams.Table([]string{"index", "at", "who", "services", "why", "change"}, rows)
}

// formatServices returns the services of a change as "service@revision" words.
func formatServices(c *api.Change) string {
	names := make([]string, len(c.Services))
	for i, s := range c.Services {
		names[i] = s.Service + "@" + strconv.FormatUint(s.Revision, 10)
	}
	return strings.Join(names, " ")
}
