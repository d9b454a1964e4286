// Package try implements the command "fleet try", which runs a whole fleet in
// one process.
package try

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp/internal/fleet"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// startTimeout is the maximum time in which the fleet starts.
const startTimeout = 30 * time.Second

// Options holds the arguments and flags of the command.
type Options struct {
	Profile  string        `help:"Whose contracts and places: sutradhar or nordavind." enum:"sutradhar,nordavind" default:"sutradhar"`
	Control  int           `help:"Number of control hosts." default:"3"`
	Entry    int           `help:"Number of entry hosts." default:"3"`
	Backends int           `help:"Number of stand-in backends of each service." default:"4"`
	Log      bool          `help:"Print the hosts' log lines on standard error."`
	For      time.Duration `help:"End after this time; the default is to run until interrupted."`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the description and the examples of the command's help text.
func (Options) Help() string {
	return `Everything runs inside this process, on 127.0.0.1, with the contracts of the
examples. Interrupt ends it gracefully.

Examples:

  mustardramp fleet try
  mustardramp fleet try --for 10s --entry 2
  mustardramp fleet try --profile nordavind`
}

// Run runs the fleet until the context ends.
func (o *Options) Run(ctx context.Context) (err error) {
	if o.Control < 1 || o.Entry < 1 || o.Backends < 1 {
		return &factory.Problem{Code: factory.ExitUsage, Reason: "a fleet needs hosts and backends", Remedy: "give each number as 1 or more"}
	}
	if !o.Log {
		factory.QuietLogs()
	}
	if o.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		timer := time.AfterFunc(o.For, cancel)
		defer timer.Stop()
	}
	f, err := fleet.New(fleet.Size{Profile: o.Profile, Control: o.Control, Entry: o.Entry, Backends: o.Backends})
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.Run(ctx, o.factory.ForceStopContext()) })
	group.Go(func() error { return o.publishAndWait(ctx, f) })
	err = group.Wait()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		o.factory.Streams.Print("stopped\n")
	}
	return err
}

// publishAndWait publishes the example contracts, waits until the fleet is ready and
// prints how to use it.
func (o *Options) publishAndWait(ctx context.Context, f *fleet.Fleet) error {
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	result, err := f.Publish(startContext)
	if err == nil {
		err = f.Ready(startContext)
	}
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return &factory.Problem{Code: factory.ExitFailure, Reason: "the fleet did not start: " + err.Error(), Remedy: "run it again with --log"}
	}
	o.printUsage(f, result.Change.Index)
	return nil
}
