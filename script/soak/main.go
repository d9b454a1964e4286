// Command soak runs a fleet of real processes on loopback and injects faults
// from outside, chosen by a seed. From what callers and backend servers observe
// it checks that the promises of the fleet hold under these faults. See
// docs/SOAK.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"
)

// settings are the flags of the command.
type settings struct {
	Seed     uint64        `help:"Seed of the faults and of the load." default:"1"`
	For      time.Duration `help:"Length of the faults." default:"30s"`
	Controls int           `help:"Control hosts." default:"3"`
	Entries  int           `help:"Entry hosts." default:"4"`
	Backends int           `help:"Stand-in backends of each service." default:"5"`
	Rate     float64       `help:"Requests a second over all entry hosts." default:"60"`
	Binary   string        `help:"Program to run; built from this repository when it is not given." placeholder:"PATH"`
	Logs     string        `help:"Folder for the logs of all processes; they are kept." placeholder:"FOLDER"`
	Break    []string      `help:"Break promises on purpose, to see their checks fail: twice, denial, answer or config; with workspaces also workspace, removed, key, answerkey, log, quota, unauthorized or newkey." enum:"twice,denial,answer,config,workspace,removed,key,answerkey,log,quota,unauthorized,newkey"`

	Workspaces bool `help:"Run the hosts with settings files, routing tables and workspaces in place of contracts."`
}

const (
	// startTimeout bounds the time until a started fleet serves all services.
	startTimeout = 60 * time.Second
	// recoveryTimeout bounds the time after the last fault until the fleet serves
	// all services again, as the deployments of the users require.
	recoveryTimeout = 15 * time.Second
)

func main() {
	var s settings
	kong.Parse(&s, kong.Description("Runs a fleet under faults and checks its promises."))
	if err := run(context.Background(), &s); err != nil {
		fmt.Fprintf(os.Stderr, "soak: seed %d: %v\n", s.Seed, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, s *settings) error {
	folder, err := os.MkdirTemp("", "mustardramp-soak-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if s.Logs == "" {
		s.Logs = filepath.Join(folder, "logs")
	}
	if err := os.MkdirAll(s.Logs, 0o755); err != nil {
		return err
	}
	if s.Binary == "" {
		s.Binary = filepath.Join(folder, "mustardramp")
		build := exec.CommandContext(ctx, "go", "build", "-o", s.Binary, "./cmd/mustardramp")
		if out, err := build.CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w: %s", s.Binary, err, out)
		}
	}
	create := newFleet
	if s.Workspaces {
		create = newWorkspaceFleet
	}
	f, err := create(s, folder)
	if err != nil {
		return err
	}
	defer f.close()
	return runScenario(ctx, s, f)
}

// runScenario starts the fleet, injects the faults under load, waits for the
// recovery and checks the promises.
func runScenario(ctx context.Context, s *settings, f *fleet) error {
	if err := f.start(ctx); err != nil {
		return err
	}
	var rec recorder
	rec.brokenPromises = s.Break
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	var load errgroup.Group
	load.Go(func() error { return sendCalls(loadCtx, s, f, &rec) })
	load.Go(func() error { return publishRevisions(loadCtx, f, &rec) })
	injectErr := inject(ctx, s, f, &rec)
	recoveryErr := f.awaitService(ctx, recoveryTimeout)
	// Keep the load on after the recovery, so that its answers are checked too.
	time.Sleep(time.Second)
	endLoad()
	err := errors.Join(injectErr, recoveryErr, load.Wait(), f.checkConfiguration(ctx, &rec))
	f.close()
	runsErr := rec.checkRuns(f)
	fmt.Println(rec.summary(s))
	if f.workspaces != nil {
		runsErr = errors.Join(runsErr, f.workspaces.check(&rec))
	}
	return errors.Join(err, runsErr)
}
