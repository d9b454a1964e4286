// Package why implements the command "refusal why", which explains why a
// request was refused.
package why

import (
	"context"
	"fmt"
	"strings"

	api "github.com/mustardramp/mustardramp/gen/refusal"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options holds the arguments and flags of the command.
type Options struct {
	factory.Remote
	ID string `arg:"" help:"Refusal id from the answer, or the caller's own request id."`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the description and the examples of the command's help text.
func (Options) Help() string {
	return `Any host may be asked about a refusal id: it asks the host that refused. A
request id is looked up at the asked host.

Examples:

  mustardramp refusal why entry-1.0000000a.1f
  mustardramp refusal why entry-1.0000000a.1f --json`
}

// Run prints the explanation of a refusal.
func (o *Options) Run(ctx context.Context) error {
	client, err := o.Client(o.factory)
	if err != nil {
		return err
	}
	r, err := client.Refusal.Show(ctx, &api.ShowPayload{Token: o.Auth(), ID: o.ID})
	if err != nil {
		return err
	}
	if o.JSON {
		return o.factory.Streams.JSON(r)
	}
	o.factory.Streams.Print("%s", Explain(r))
	return nil
}

// Explain returns a text of several lines that explains a refusal.
func Explain(r *api.Refusal) string {
	var b strings.Builder
	line := func(name, format string, args ...any) {
		fmt.Fprintf(&b, "%-9s %s\n", name, fmt.Sprintf(format, args...))
	}
	line("refusal", "%s at %s by host %s", r.ID, r.At, r.Host)
	line("asked", "%s %s by caller %s, rank %s", r.Method, r.Path, r.Caller, r.Rank)
	if r.Request != nil && *r.Request != "" {
		line("request", "%s", *r.Request)
	}
	line("did run?", "%s", Ran(r))
	line("why", "%s: %s", r.Kind, r.Reason)
	line("rule", "%s%s", r.Rule, ruleText(r))
	for _, f := range r.Facts {
		line("", "%s = %s", f.Name, f.Value)
	}
	if r.Backend != nil && *r.Backend != "" {
		line("backend", "%s, %d attempts", *r.Backend, r.Attempts)
	}
	if r.Ledger != nil {
		line("ledger", "key %s is %s now", r.Ledger.Key, r.Ledger.State)
	}
	line("now", "%s", r.Advice)
	return b.String()
}

// Ran returns a sentence that states whether the operation ran.
func Ran(r *api.Refusal) string {
	sentence := map[string]string{
		"not-run":      "no: the operation did not run",
		"may-have-run": "it may have run: nothing proves that it did not",
		"ran":          "yes: the operation ran",
	}[r.Operation]
	if r.Sending == "not-run" && r.Operation != "not-run" {
		sentence += "; this request itself was not sent to a backend"
	}
	return sentence
}

// ruleText returns the file and the text of the rule, as far as they are known.
func ruleText(r *api.Refusal) string {
	text := ""
	if r.RuleFile != nil && *r.RuleFile != "" {
		text = " (" + *r.RuleFile + ")"
	}
	if r.RuleText != nil && *r.RuleText != "" {
		text += ": " + strings.TrimSpace(*r.RuleText)
	}
	return text
}
