// Package log is the command contract log.
package log

import (
	"context"
	"strconv"
	"strings"

	api "github.com/mustardramp/mustardramp/gen/contract"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options are the flags of contract log.
type Options struct {
	factory.Remote
	Service string `arg:"" optional:"" help:"Only changes of this service."`
	Limit   int    `help:"Most changes to print." default:"20"`

	factory *factory.Factory
}

// New returns the command.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help gives examples.
func (Options) Help() string {
	return `Examples:

  mustardramp contract log
  mustardramp contract log mohor --limit 5`
}

// Run lists accepted changes, newest first.
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
		rows[i] = []string{strconv.FormatUint(c.Index, 10), c.At, c.Who, services(c), c.Why, c.ID}
	}
	return o.factory.Streams.Table([]string{"index", "at", "who", "services", "why", "change"}, rows)
}

func services(c *api.Change) string {
	names := make([]string, len(c.Services))
	for i, s := range c.Services {
		names[i] = s.Service + "@" + strconv.FormatUint(s.Revision, 10)
	}
	return strings.Join(names, " ")
}
