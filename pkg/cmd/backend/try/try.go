// Package try is the command backend try.
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

// leavePause is the time between the announcement that the backend leaves and
// its end.
const leavePause = 3 * time.Second

// Options are the flags of backend try.
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

	factory *factory.Factory
}

// New returns the command.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help gives examples.
func (Options) Help() string {
	return `A stand-in for a real backend, to try an installation with. Interrupt makes it
announce that it leaves, then it ends.

Examples:

  mustardramp backend try patha --zone kol-a --region kolkata --token fedcba9876543210
  mustardramp backend try patha --zone kol-a --region kolkata --listen 127.0.0.1:7081 --errors 0.3`
}

// Run serves until the context ends.
func (o *Options) Run(ctx context.Context) error {
	backend := &standin.Backend{Name: o.Service + "@" + o.Listen.String(), Slots: o.Slots, Work: o.Work}
	backend.Fail(standin.Fault{Errors: o.Errors, Cuts: o.Cuts, Hangs: o.Hangs})
	server := &http.Server{Addr: o.Listen.String(), Handler: backend}
	announcer := o.announcer()
	group, inner := errgroup.WithContext(context.WithoutCancel(ctx))
	renewing, stopRenewing := context.WithCancel(inner)
	group.Go(func() error {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		o.report(announcer.Serve(renewing))
		_ = announcer.Run(renewing)
		return nil
	})
	group.Go(func() error {
		defer stopRenewing()
		select {
		case <-inner.Done():
			return server.Close()
		case <-ctx.Done():
		}
		return o.leave(inner, announcer, server)
	})
	return group.Wait()
}

func (o *Options) announcer() *announce.Client {
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
		Failed: o.report,
	}
}

// leave announces the end, waits until the hosts know it, and stops.
func (o *Options) leave(ctx context.Context, announcer *announce.Client, server *http.Server) error {
	o.report(announcer.Leave(ctx))
	timer := time.NewTimer(leavePause)
	defer timer.Stop()
	<-timer.C
	err := server.Shutdown(ctx)
	o.report(announcer.Gone(ctx))
	return err
}

func (o *Options) report(err error) {
	if err != nil {
		o.factory.Streams.Print("not announced: %v\n", err)
	}
}
