// Package try implements the command "backend try", which runs a stand-in for a
// backend.
package try

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/standin"
	"github.com/mustardramp/mustardramp/pkg/announce"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// leaveDelay is the time from the announcement that the backend leaves to its end,
// so that all entry hosts learn of it.
const leaveDelay = 3 * time.Second

// Options holds the arguments and flags of the command.
type Options struct {
	Service  string         `arg:"" help:"Service."`
	Listen   netip.AddrPort `help:"Address of the backend." default:"127.0.0.1:7080" placeholder:"IP:PORT"`
	Announce []string       `help:"Announcement addresses of entry hosts, as URLs." default:"http://127.0.0.1:7002"`
	Token    string         `help:"Token for announcements." env:"MUSTARDRAMP_ANNOUNCE_TOKEN"`
	Zone     string         `help:"Availability zone." required:"" env:"MUSTARDRAMP_ZONE"`
	Region   string         `help:"Region." required:"" env:"MUSTARDRAMP_REGION"`
	Slots    int            `help:"Requests served at the same time." default:"6"`
	Work     time.Duration  `help:"Time that each request takes." default:"2ms"`
	Errors   float64        `help:"Share of requests that end in status 500, 0 to 1."`
	Cuts     float64        `help:"Share of requests whose answer is cut, 0 to 1."`
	Hangs    float64        `help:"Share of requests that get no answer, 0 to 1."`
	Quiet    time.Duration  `help:"Time for which a full backend asks for no requests; 0 for none."`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the description and the examples of the command's help text.
func (Options) Help() string {
	return `A stand-in for a real backend, to try an installation with. Interrupt makes it
announce that it leaves, then it ends.

Examples:

  mustardramp backend try patha --zone kol-a --region kolkata --token fedcba9876543210
  mustardramp backend try patha --zone kol-a --region kolkata --listen 127.0.0.1:7081 --errors 0.3`
}

// Run serves requests and announces the backend until the context ends, then
// announces that it leaves and stops.
func (o *Options) Run(ctx context.Context) error {
	backend := &standin.Backend{Name: o.Service + "@" + o.Listen.String(), Slots: o.Slots, Work: o.Work}
	backend.Fail(standin.Fault{Errors: o.Errors, Cuts: o.Cuts, Hangs: o.Hangs, Quiet: o.Quiet})
	server := &http.Server{Addr: o.Listen.String(), Handler: backend}
	announcer := o.newAnnouncer()
	group, groupContext := errgroup.WithContext(context.WithoutCancel(ctx))
	announceContext, stopAnnouncing := context.WithCancel(groupContext)
	group.Go(func() error {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		o.printFailure(announcer.Serve(announceContext))
		_ = announcer.Run(announceContext)
		return nil
	})
	group.Go(func() error {
		defer stopAnnouncing()
		select {
		case <-groupContext.Done():
			return server.Close()
		case <-ctx.Done():
		}
		backend.Drain()
		return o.leave(groupContext, announcer, server)
	})
	return group.Wait()
}

func (o *Options) newAnnouncer() *announce.Client {
	return &announce.Client{
		Hosts: o.Announce,
		Token: o.Token,
		About: announce.Announcement{
			Service:     mustardramp.ServiceName(o.Service),
			Address:     o.Listen,
			Zone:        mustardramp.Zone(o.Zone),
			Region:      mustardramp.Region(o.Region),
			Slots:       mustardramp.Slots(o.Slots),
			Incarnation: mustardramp.Incarnation(o.factory.Clock.Now().UnixMilli()),
		},
		Failed: o.printFailure,
	}
}

// leave announces that the backend leaves, waits until the entry hosts know, and
// shuts the server down.
func (o *Options) leave(ctx context.Context, announcer *announce.Client, server *http.Server) error {
	o.printFailure(announcer.Leave(ctx))
	timer := time.NewTimer(leaveDelay)
	defer timer.Stop()
	<-timer.C
	err := server.Shutdown(ctx)
	o.printFailure(announcer.Gone(ctx))
	return err
}

// printFailure prints the error of an announcement, if there is one.
func (o *Options) printFailure(err error) {
	if err != nil {
		o.factory.Streams.Print("not announced: %v\n", err)
	}
}
