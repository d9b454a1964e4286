// Package explain implements the command "request explain", which explains where a
// request would go now without sending it.
package explain

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	api "github.com/mustardramp/mustardramp/gen/request"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options holds the arguments and flags of the command.
type Options struct {
	factory.Remote
	Method    string        `help:"HTTP method." default:"GET"`
	Host      string        `help:"Host header of the request." required:""`
	Path      string        `help:"Path of the request, with its query." required:""`
	Workspace string        `help:"Name of the workspace whose key the request has. Keys are not accepted."`
	Size      int64         `help:"Length of the body in bytes."`
	Timeout   time.Duration `help:"Time that the caller gives the request."`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the description and the examples of the command's help text.
func (Options) Help() string {
	return `Nothing is sent, and no slot or token is taken. The answer is what the asked entry
host knows; other hosts are not asked.

Examples:

  mustardramp request explain --host patha.example --path /lists/7
  mustardramp request explain --method POST --host patha.example --path /lists/7 --workspace acme --size 2048 --timeout 2s
  mustardramp request explain --host patha.example --path /lists/7 --json`
}

// Run prints the explanation.
func (o *Options) Run(ctx context.Context) error {
	payload := &api.ExplainPayload{Token: o.Auth(), Method: o.Method, Host: o.Host, Path: o.Path, Size: o.Size}
	if o.Size < 0 || o.Timeout < 0 || o.Timeout > 0 && o.Timeout < time.Millisecond {
		return &factory.Problem{Code: factory.ExitUsage, Reason: "--size is negative, or --timeout is less than 1ms", Remedy: "see --help"}
	}
	if o.Workspace != "" {
		payload.Workspace = &o.Workspace
	}
	if o.Timeout > 0 {
		payload.TimeoutMs = new(o.Timeout.Milliseconds())
	}
	client, err := o.Client(o.factory)
	if err != nil {
		return err
	}
	e, err := client.Request.Explain(ctx, payload)
	if err != nil {
		return err
	}
	if o.JSON {
		return o.factory.Streams.JSON(e)
	}
	o.factory.Streams.Print("%s", page(e))
	return nil
}

// printer writes lines that begin with a name. Lines that continue have no name.
type printer struct{ strings.Builder }

func (p *printer) line(name string, texts ...string) {
	fmt.Fprintf(p, "%-9s %s\n", name, strings.Join(texts, ", "))
}

// page returns the explanation as text of several lines.
func page(e *api.RequestExplanation) string {
	p := &printer{}
	p.outcome("outcome", e.Outcome)
	confirmed := "not confirmed by a control host"
	if e.Current {
		confirmed = "confirmed by a control host"
	}
	p.line("asked", e.Asked+" at "+e.At)
	p.line("", "change "+strconv.FormatUint(e.Index, 10)+" in force", confirmed)
	p.route(e)
	for _, r := range e.Nearest {
		methods := strings.Join(r.Methods, " ")
		if methods == "" {
			methods = "all methods"
		}
		p.line("nearest", r.Host+r.Path, methods)
	}
	if e.Workspace != nil {
		p.workspace(e.Workspace)
	}
	for _, part := range e.Parts {
		p.part(part, len(e.Parts) > 1)
	}
	return p.String()
}

func (p *printer) outcome(name string, o *api.RequestOutcome) {
	texts := []string{o.Action}
	switch {
	case o.Kind != nil:
		texts = []string{o.Action + " as " + *o.Kind, "Retry-After " + atLeast(o.RetryAfterMs)}
	case o.Action == "send" && o.WaitMs != nil && *o.WaitMs == 0:
		texts = []string{"send now"}
	case o.WaitMs != nil:
		texts = []string{o.Action + " for about " + millis(o.WaitMs)}
	case o.Action == "send" || o.Action == "wait":
		texts = append(texts, "wait unknown")
	}
	p.line(name, texts...)
	p.line("", o.Reason)
	if o.Condition != nil {
		p.line("", "if allowed: "+*o.Condition)
	}
}

func (p *printer) route(e *api.RequestExplanation) {
	r := e.Route
	if r == nil {
		p.line("route", "none")
		return
	}
	texts := []string{r.Rule, r.Path}
	if r.Name != nil {
		texts = append(texts, "route "+*r.Name)
	}
	if r.TableVersion != nil {
		texts = append(texts, "routing table "+strconv.FormatUint(*r.TableVersion, 10))
	}
	p.line("route", texts...)
	kind := "must not be repeated"
	if r.Repeatable {
		kind = "may be repeated"
	}
	texts = []string{kind, "rank " + r.Rank, "target " + textOr(r.TargetMs, "none")}
	if len(e.Parts) > 0 {
		texts = append(texts, "deadline "+millis(e.Parts[0].DeadlineMs))
	}
	p.line("request", texts...)
	if r.Anonymous {
		p.line("", "no key of a workspace needed")
	}
}

func (p *printer) workspace(w *api.RequestWorkspace) {
	if !w.Limited || w.Rate == nil || w.Burst == nil {
		p.line("workspace", w.Name, "no limit")
		return
	}
	p.line("workspace", w.Name, fmt.Sprintf("%g requests a second over all hosts", *w.Rate), "burst "+strconv.Itoa(*w.Burst))
	decision := map[string]string{
		"admits": "this host would admit it", "refuses": "this host would refuse it",
		"asks-keeper": "this host would ask the keeper", "draws": "a random number would decide",
	}[w.Decision]
	p.line("quota", decision, "keeper "+text(w.Keeper), "heard "+ago(w.AgeMs), "tokens "+number(w.Tokens))
	p.line("", "at this host "+number(w.Admitted)+" admitted", number(w.Refused)+" refused")
}

func (p *printer) part(part *api.RequestPart, isSplit bool) {
	if isSplit {
		p.line("service", part.Service, fmt.Sprintf("weight %g", part.Weight), percent(part.Share)+" of the requests")
		p.outcome("", part.Outcome)
	} else {
		p.line("service", part.Service)
	}
	for _, g := range part.Groups {
		p.group(g)
	}
}

func (p *printer) group(g *api.RequestGroup) {
	keeper := "keeper " + g.Keeper
	if g.KeptHere {
		keeper += " (the asked host)"
	}
	p.line("group", fmt.Sprintf("%s/%d", g.Region, g.Part), g.Distance, keeper, strconv.Itoa(g.Slots)+" slots")
	free := "free slots unknown"
	if g.Free != nil {
		free = fmt.Sprintf("%d free as stated %s", *g.Free, ago(g.FreeAgeMs))
		if !g.FreeCounts {
			free += " (too old to count)"
		}
	}
	wait := "wait unknown"
	if g.WaitMs != nil {
		wait = "wait " + millis(g.WaitMs) + " as reported " + ago(g.WaitAgeMs)
	}
	p.line("", wait, free, fmt.Sprintf("weight %.3g", g.Weight))
	if g.Excluded != nil {
		p.line("", "not chosen: "+*g.Excluded)
	}
	if g.Outcome != nil {
		p.line("", percent(g.Share)+" of the choices")
		p.outcome("", g.Outcome)
	}
	for _, b := range g.Backends {
		texts := []string{b.ID, b.Zone, strconv.Itoa(b.Slots) + " slots", "in flight " + number(b.InFlight), "risk " + risk(b.Risk)}
		if b.Chosen {
			texts = append(texts, "chosen")
		}
		if b.Excluded != nil {
			texts = append(texts, "excluded: "+*b.Excluded)
		}
		p.line("backend", texts...)
	}
}

const unknown = "unknown"

func millis(ms *int64) string {
	return textOr(ms, unknown)
}

// textOr returns a time in milliseconds as text, or other if there is none.
func textOr(ms *int64, other string) string {
	if ms == nil {
		return other
	}
	return (time.Duration(*ms) * time.Millisecond).String()
}

func ago(ms *int64) string {
	if ms == nil {
		return unknown
	}
	return millis(ms) + " ago"
}

func atLeast(ms *int64) string {
	if ms == nil {
		return "none"
	}
	return millis(ms) + " or more"
}

func number[T int | int64](n *T) string {
	if n == nil {
		return unknown
	}
	return strconv.FormatInt(int64(*n), 10)
}

func risk(r *float64) string {
	if r == nil {
		return unknown
	}
	return strconv.FormatFloat(*r, 'f', 2, 64)
}

func percent(share float64) string {
	return strconv.FormatFloat(100*share, 'f', 0, 64) + " %"
}

func text(s *string) string {
	if s == nil {
		return unknown
	}
	return *s
}
