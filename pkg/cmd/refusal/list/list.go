// Package list implements the command "refusal list", which lists the requests
// that a host refused.
package list

import (
	"context"
	"time"

	api "github.com/mustardramp/mustardramp/gen/refusal"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options holds the arguments and flags of the command.
type Options struct {
	factory.Remote
	Caller  string        `help:"Only refusals of this caller."`
	Service string        `help:"Only refusals of this service."`
	Since   time.Duration `help:"Only refusals of this last span, such as 30m."`
	Limit   int           `help:"Most refusals to print." default:"50"`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the examples of the command's help text.
func (Options) Help() string {
	return `Examples:

  mustardramp refusal list --caller hangar-7 --since 30m
  mustardramp refusal list --service mohor --json`
}

// Run prints the refusals of the host, newest first.
func (o *Options) Run(ctx context.Context) error {
	client, err := o.Client(o.factory)
	if err != nil {
		return err
	}
	page, err := client.Refusal.List(ctx, o.newPayload())
	if err != nil {
		return err
	}
	if o.JSON {
		return o.factory.Streams.JSON(page.Items)
	}
	rows := make([][]string, len(page.Items))
	for i, r := range page.Items {
		rows[i] = []string{r.ID, r.At, r.Kind, r.Operation, r.Rule, r.Caller, r.Method + " " + r.Path}
	}
	return o.factory.Streams.Table([]string{"id", "at", "kind", "operation", "rule", "caller", "request"}, rows)
}

// newPayload returns the request with the filters of the flags.
func (o *Options) newPayload() *api.ListPayload {
	payload := &api.ListPayload{Token: o.Auth(), Limit: o.Limit}
	if o.Caller != "" {
		payload.Caller = &o.Caller
	}
	if o.Service != "" {
		payload.Service = &o.Service
	}
	if o.Since > 0 {
		since := o.factory.Clock.Now().Add(-o.Since).UTC().Format(time.RFC3339)
		payload.Since = &since
	}
	return payload
}
