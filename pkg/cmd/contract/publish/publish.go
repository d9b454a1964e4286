// Package publish implements the command "contract publish", which puts
// contract files in force.
package publish

import (
	"context"
	"errors"
	"os/user"
	"strconv"
	"time"

	"github.com/google/uuid"

	api "github.com/mustardramp/mustardramp/gen/contract"
	"github.com/mustardramp/mustardramp/gen/fleet"
	"github.com/mustardramp/mustardramp/pkg/admin"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

const (
	// maxSends is the number of times that a change is sent while its answer is
	// lost. The change ID makes that safe.
	maxSends = 4
	// resendInterval is the time before a change is sent again.
	resendInterval = 500 * time.Millisecond
	// statusInterval is the time between two requests for the fleet status.
	statusInterval = 200 * time.Millisecond
)

// Options holds the arguments and flags of the command.
type Options struct {
	factory.Remote
	Files   []string          `arg:"" help:"Contract files, or folders of them; they go in as one change."`
	Why     string            `required:"" help:"Reason, for the change log."`
	Who     string            `help:"Author, for the change log; the default is the login name." env:"MUSTARDRAMP_WHO"`
	Change  string            `help:"Change id. Give the id of a change whose answer was lost to send it again safely."`
	Base    map[string]uint64 `help:"Revision that the change starts from, by service; the default is the one in force." placeholder:"SERVICE=N"`
	Wait    bool              `help:"Wait until the change is in force on all live hosts."`
	Timeout time.Duration     `help:"Longest time to wait." default:"30s"`

	factory *factory.Factory
	// pause waits for a duration, or returns the error of the context.
	pause func(context.Context, time.Duration) error
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f, pause: sleep}
}

// Help returns the examples of the command's help text.
func (Options) Help() string {
	return `Examples:

  mustardramp contract publish examples/sutradhar --why "first contracts" --wait
  mustardramp contract publish mohor.yaml --why "floor to 85" --base mohor=3`
}

// Run publishes the files as a single change and prints the new revisions.
func (o *Options) Run(ctx context.Context) error {
	files, faults, err := factory.ReadContracts(o.Files)
	if err != nil {
		return err
	}
	if len(faults) > 0 {
		for _, fault := range faults {
			o.factory.Streams.Print("%s\n", fault)
		}
		return &factory.Problem{Code: factory.ExitFaults, Reason: "the files have faults", Remedy: "mend the lines above"}
	}
	client, err := o.Client(o.factory)
	if err != nil {
		return err
	}
	payload, err := o.newPayload(ctx, client, files)
	if err != nil {
		return err
	}
	change, err := o.send(ctx, client, payload)
	if err != nil {
		return o.explainError(err, payload.Change)
	}
	return o.printResult(ctx, client, change)
}

// newPayload returns the change with the defaults of its id, author and base
// revisions.
func (o *Options) newPayload(ctx context.Context, client *admin.Client, files []factory.ContractFile) (*api.PublishPayload, error) {
	payload := &api.PublishPayload{Token: o.Auth(), Change: o.Change, Who: o.Who, Why: o.Why}
	if payload.Change == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return nil, err
		}
		payload.Change = id.String()
	}
	if payload.Who == "" {
		payload.Who = loginName()
	}
	for _, f := range files {
		service := string(f.Contract.Service)
		base, ok := o.Base[service]
		if !ok {
			var err error
			base, err = o.currentRevision(ctx, client, service)
			if err != nil {
				return nil, err
			}
		}
		payload.Files = append(payload.Files, &api.ContractFile{Name: f.Name, Source: string(f.Source), Base: base})
	}
	return payload, nil
}

// currentRevision returns the revision of a service in force, or 0 if there is none.
func (o *Options) currentRevision(ctx context.Context, client *admin.Client, service string) (uint64, error) {
	shown, err := client.Contract.Show(ctx, &api.ShowPayload{Token: o.Auth(), Service: service})
	if err != nil {
		if factory.Explain(err).Code == factory.ExitNotFound {
			return 0, nil
		}
		return 0, err
	}
	return shown.Summary.Revision, nil
}

// send publishes the change. It sends the change again if the answer is lost.
func (o *Options) send(ctx context.Context, client *admin.Client, payload *api.PublishPayload) (*api.Change, error) {
	var last error
	for range maxSends {
		change, err := client.Contract.Publish(ctx, payload)
		if err == nil || factory.Explain(err).Code != factory.ExitUnreachable {
			return change, err
		}
		last = err
		if err := o.pause(ctx, resendInterval); err != nil {
			return nil, err
		}
	}
	return nil, last
}

// explainError prints the faults or the conflict that an error holds, and returns
// the error to report.
func (o *Options) explainError(err error, change string) error {
	var faults *api.Faults
	if errors.As(err, &faults) {
		for _, f := range faults.Faults {
			o.factory.Streams.Print("%s:%d:%d: %s: %s\n", f.File, f.Line, f.Column, f.Reason, f.Remedy)
		}
		return err
	}
	var conflict *api.Conflict
	if errors.As(err, &conflict) {
		o.factory.Streams.Print("%s", conflict.Difference)
		return err
	}
	problem := factory.Explain(err)
	if problem.Code == factory.ExitUnreachable {
		return &factory.Problem{
			Code:   factory.ExitUnreachable,
			Reason: "the change may or may not be in force: " + problem.Reason,
			Remedy: "send it again with --change " + change,
		}
	}
	return err
}

// printResult prints the published change and on how many live hosts it is in force.
func (o *Options) printResult(ctx context.Context, client *admin.Client, change *api.Change) error {
	live, inForce := 0, 0
	if o.Wait {
		var err error
		live, inForce, err = o.waitInForce(ctx, client, change.Index)
		if err != nil {
			return err
		}
	} else if status, err := client.Fleet.Status(ctx, &fleet.StatusPayload{Token: o.Auth()}); err == nil {
		live, inForce = countInForce(status, change.Index)
	}
	if o.JSON {
		return o.factory.Streams.JSON(change)
	}
	rows := make([][]string, 0, len(change.Services))
	for _, s := range change.Services {
		rows = append(rows, []string{s.Service, strconv.FormatUint(s.Revision, 10), change.ID})
	}
	if err := o.factory.Streams.Table([]string{"service", "revision", "change"}, rows); err != nil {
		return err
	}
	o.factory.Streams.Print("in force on %d of %d live hosts\n", inForce, live)
	return nil
}

// waitInForce waits until the change is in force on all live hosts, or until the
// timeout. It returns the number of live hosts and on how many of them the change
// is in force.
func (o *Options) waitInForce(ctx context.Context, client *admin.Client, index uint64) (live, inForce int, err error) {
	deadline := o.factory.Clock.Now().Add(o.Timeout)
	for {
		status, err := client.Fleet.Status(ctx, &fleet.StatusPayload{Token: o.Auth()})
		if err == nil {
			live, inForce = countInForce(status, index)
			if live > 0 && live == inForce {
				return live, inForce, nil
			}
		}
		if o.factory.Clock.Now().After(deadline) {
			return live, inForce, &factory.Problem{
				Code:   factory.ExitUnreachable,
				Reason: "accepted, but in force on " + strconv.Itoa(inForce) + " of " + strconv.Itoa(live) + " live hosts",
				Remedy: "look at 'fleet status'; the other hosts take it up when they can be reached",
			}
		}
		if err := o.pause(ctx, statusInterval); err != nil {
			return live, inForce, err
		}
	}
}

// countInForce returns the number of live hosts and on how many of them the change
// is in force.
func countInForce(status *fleet.FleetStatus, index uint64) (live, inForce int) {
	for _, h := range status.Hosts {
		if h.State == "lost" {
			continue
		}
		live++
		if h.Index >= index {
			inForce++
		}
	}
	return live, inForce
}

// loginName returns the name of the user, or "unknown".
func loginName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// sleep waits for a duration, or returns the error of the context.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
