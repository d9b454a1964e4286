// Package root defines the command line and runs its commands.
package root

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	backendlist "github.com/mustardramp/mustardramp/pkg/cmd/backend/list"
	backendtry "github.com/mustardramp/mustardramp/pkg/cmd/backend/try"
	"github.com/mustardramp/mustardramp/pkg/cmd/contract/check"
	"github.com/mustardramp/mustardramp/pkg/cmd/contract/diff"
	contractlist "github.com/mustardramp/mustardramp/pkg/cmd/contract/list"
	"github.com/mustardramp/mustardramp/pkg/cmd/contract/log"
	"github.com/mustardramp/mustardramp/pkg/cmd/contract/publish"
	contractshow "github.com/mustardramp/mustardramp/pkg/cmd/contract/show"
	controlserve "github.com/mustardramp/mustardramp/pkg/cmd/control/serve"
	entryserve "github.com/mustardramp/mustardramp/pkg/cmd/entry/serve"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
	"github.com/mustardramp/mustardramp/pkg/cmd/fleet/status"
	"github.com/mustardramp/mustardramp/pkg/cmd/fleet/try"
	"github.com/mustardramp/mustardramp/pkg/cmd/host/drain"
	"github.com/mustardramp/mustardramp/pkg/cmd/ledger/settle"
	ledgershow "github.com/mustardramp/mustardramp/pkg/cmd/ledger/show"
	metricslist "github.com/mustardramp/mustardramp/pkg/cmd/metrics/list"
	"github.com/mustardramp/mustardramp/pkg/cmd/platform"
	refusallist "github.com/mustardramp/mustardramp/pkg/cmd/refusal/list"
	"github.com/mustardramp/mustardramp/pkg/cmd/refusal/why"
	"github.com/mustardramp/mustardramp/pkg/cmd/request/explain"
	"github.com/mustardramp/mustardramp/pkg/cmd/version"
	workspacelist "github.com/mustardramp/mustardramp/pkg/cmd/workspace/list"
	workspaceshow "github.com/mustardramp/mustardramp/pkg/cmd/workspace/show"
)

type entryCommands struct {
	Serve entryserve.Options `cmd:"" help:"Run an entry host."`
}

type controlCommands struct {
	Serve controlserve.Options `cmd:"" help:"Run a control host."`
}

type contractCommands struct {
	Check   check.Options        `cmd:"" help:"Report every fault in contract files."`
	Publish publish.Options      `cmd:"" help:"Put contract files in force as one change."`
	List    contractlist.Options `cmd:"" help:"List the contracts in force."`
	Show    contractshow.Options `cmd:"" help:"Print a contract's text."`
	Diff    diff.Options         `cmd:"" help:"Print what files would change."`
	Log     log.Options          `cmd:"" help:"List accepted changes: who, when and why."`
}

type fleetCommands struct {
	Status status.Options `cmd:"" help:"Show hosts, ejections, floors, ranks and quorums."`
	Try    try.Options    `cmd:"" help:"Run a whole fleet with stand-in backends in this process."`
}

type backendCommands struct {
	List backendlist.Options `cmd:"" help:"List backends with their standing and its cause."`
	Try  backendtry.Options  `cmd:"" help:"Run a stand-in backend that announces itself."`
}

type hostCommands struct {
	Drain drain.Options `cmd:"" help:"Stop a host gracefully."`
}

type refusalCommands struct {
	Why  why.Options         `cmd:"" help:"Explain why a call was refused and whether it ran."`
	List refusallist.Options `cmd:"" help:"List a host's refusals by caller, service and time."`
}

type requestCommands struct {
	Explain explain.Options `cmd:"" help:"Explain where a request would go now, without sending it."`
}

type ledgerCommands struct {
	Show   ledgershow.Options `cmd:"" help:"Show the entry of a once-only operation."`
	Settle settle.Options     `cmd:"" help:"Record what was found out about an operation of unknown outcome."`
}

type metricsCommands struct {
	List metricslist.Options `cmd:"" help:"List a host's histograms by service, rank and caller."`
}

type workspaceCommands struct {
	List workspacelist.Options `cmd:"" help:"List workspaces with their limits and use."`
	Show workspaceshow.Options `cmd:"" help:"Show a workspace's limits, use and refusals."`
}

type platformCommands struct {
	Entry   platform.Entry   `cmd:"" help:"Run an entry host with the platform's settings."`
	Control platform.Control `cmd:"" help:"Run a control host with the platform's settings."`
}

type commands struct {
	Entry    entryCommands    `cmd:"" help:"Run entry hosts."`
	Control  controlCommands  `cmd:"" help:"Run control hosts."`
	Contract contractCommands `cmd:"" help:"Check, publish and read contracts."`
	Fleet    fleetCommands    `cmd:"" help:"Look at the fleet, or try one."`
	Backend  backendCommands  `cmd:"" help:"Look at backends."`
	Host     hostCommands     `cmd:"" help:"Operate single hosts."`
	Refusal  refusalCommands  `cmd:"" help:"Explain refusals."`
	Ledger   ledgerCommands   `cmd:"" help:"Look at once-only operations."`
	Metrics  metricsCommands  `cmd:"" help:"Read measurements."`
	Platform platformCommands `cmd:"" help:"Run hosts on the users' platform."`
	Version  version.Options  `cmd:"" help:"Print the version."`

	Request   requestCommands   `cmd:"" help:"Explain where requests go."`
	Workspace workspaceCommands `cmd:"" help:"Look at workspaces."`
}

func newCommands(f *factory.Factory) *commands {
	return &commands{
		Entry:   entryCommands{Serve: entryserve.New(f)},
		Control: controlCommands{Serve: controlserve.New(f)},
		Contract: contractCommands{
			Check: check.New(f), Publish: publish.New(f), List: contractlist.New(f),
			Show: contractshow.New(f), Diff: diff.New(f), Log: log.New(f),
		},
		Fleet:    fleetCommands{Status: status.New(f), Try: try.New(f)},
		Backend:  backendCommands{List: backendlist.New(f), Try: backendtry.New(f)},
		Host:     hostCommands{Drain: drain.New(f)},
		Refusal:  refusalCommands{Why: why.New(f), List: refusallist.New(f)},
		Ledger:   ledgerCommands{Show: ledgershow.New(f), Settle: settle.New(f)},
		Metrics:  metricsCommands{List: metricslist.New(f)},
		Platform: platformCommands{Entry: platform.NewEntry(f)},
		Version:  version.New(f),

		Request:   requestCommands{Explain: explain.New(f)},
		Workspace: workspaceCommands{List: workspacelist.New(f), Show: workspaceshow.New(f)},
	}
}

// Main runs the command line of the process and returns its exit code. The first
// interrupt or SIGTERM stops the command gracefully; the second cuts off what the stop
// waits for.
func Main(programVersion string, args []string) factory.ExitCode {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	ctx, stop := context.WithCancel(context.Background())
	forceStopContext, forceStop := context.WithCancel(context.Background())
	defer stop()
	defer forceStop()
	var group errgroup.Group
	group.Go(func() error {
		for _, cancel := range []context.CancelFunc{stop, forceStop} {
			if _, ok := <-signals; !ok {
				break
			}
			cancel()
		}
		return nil
	})
	f := factory.New(programVersion)
	f.ForceStop = forceStopContext
	code := Run(ctx, f, args)
	signal.Stop(signals)
	close(signals)
	_ = group.Wait()
	return code
}

// Run parses the arguments, runs their command and returns the exit code. It prints an
// error as one line on the error stream.
func Run(ctx context.Context, f *factory.Factory, args []string) (code factory.ExitCode) {
	// kong ends the process after it has printed help. The panic returns from it
	// instead.
	type exitRequest struct{ code int }
	defer func() {
		if e, ok := recover().(exitRequest); ok {
			code = factory.ExitCode(e.code)
		}
	}()
	parser, err := kong.New(newCommands(f),
		kong.Name("mustardramp"),
		kong.Description("Answers why a call was refused and whether it ran."),
		kong.Writers(f.Streams.Out, f.Streams.Err),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: false}),
		kong.Exit(func(code int) { panic(exitRequest{code}) }),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err != nil {
		return printError(f, err)
	}
	command, err := parser.Parse(args)
	if err != nil {
		return printError(f, &factory.Problem{Code: factory.ExitUsage, Reason: err.Error(), Remedy: "see 'mustardramp --help'"})
	}
	if err := command.Run(); err != nil {
		return printError(f, err)
	}
	return factory.ExitOK
}

// printError prints an error and returns its exit code.
func printError(f *factory.Factory, err error) factory.ExitCode {
	problem := factory.Explain(err)
	fmt.Fprintf(f.Streams.Err, "mustardramp: %s\n", problem.Error())
	return problem.Code
}
