// Command load measures the latency and the CPU time that an entry host adds to
// a call. It serves a backend of its own, announces it, and sends calls through
// the host and directly in the same run.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/announce"
)

// settings are the flags of the command.
type settings struct {
	Through  string        `help:"Address of the entry host for callers." required:"" placeholder:"IP:PORT"`
	Announce string        `help:"Address of the entry host for announcements." required:"" placeholder:"IP:PORT"`
	Token    string        `help:"Token for announcements." required:""`
	Service  string        `help:"Service, which is its host name too." default:"probe"`
	Zone     string        `help:"Zone of the backend." default:"kol-a"`
	Region   string        `help:"Region of the backend." default:"kolkata"`
	Process  int           `help:"Process id of the entry host, whose CPU time is read."`
	Rate     float64       `help:"Calls a second of the open loop, both ways together." default:"1000"`
	Span     time.Duration `help:"Length of each part." default:"5s"`
	Callers  int           `help:"Callers of the closed loop." default:"32"`
	Size     int           `help:"Length of the answer in bytes." default:"256"`
	Seed     uint64        `help:"Seed of the arrivals." default:"1"`
}

// startTimeout bounds the time until the host serves calls with the backend.
const startTimeout = 20 * time.Second

func main() {
	var s settings
	kong.Parse(&s, kong.Description("Measures what an entry host adds to a call."))
	if err := run(context.Background(), &s); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, s *settings) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: backend(s.Size), ReadHeaderTimeout: startTimeout}
	group, ctx := errgroup.WithContext(ctx)
	ctx, cancel := context.WithCancel(ctx)
	group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	client := s.newAnnouncer(listener.Addr().String())
	group.Go(func() error {
		_ = client.Run(ctx)
		return nil
	})
	group.Go(func() error {
		defer cancel()
		defer server.Close()
		return measure(ctx, s, client, listener.Addr().String())
	})
	return group.Wait()
}

func ignoreClosed(err error) error {
	if errs.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// backend returns a handler that answers each call with size bytes.
func backend(size int) http.Handler {
	answer := strings.Repeat("x", size)
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, answer)
	})
}

func (s *settings) newAnnouncer(address string) *announce.Client {
	return &announce.Client{
		Hosts: []string{"http://" + s.Announce},
		Token: s.Token,
		About: announce.Announcement{
			Service:     mustardramp.ServiceName(s.Service),
			Address:     netip.MustParseAddrPort(address),
			Zone:        mustardramp.Zone(s.Zone),
			Region:      mustardramp.Region(s.Region),
			Incarnation: mustardramp.Incarnation(time.Now().UnixMilli()),
		},
	}
}

// measure waits until a call through the host succeeds, then runs the open and
// the closed loop.
func measure(ctx context.Context, s *settings, client *announce.Client, directAddress string) error {
	through := newTarget(s.Through, s.Service)
	direct := newTarget(directAddress, s.Service)
	if err := awaitService(ctx, client, through); err != nil {
		return err
	}
	fmt.Printf("seed=%d rate=%g span=%s callers=%d size=%d\n", s.Seed, s.Rate, s.Span, s.Callers, s.Size)
	if err := openLoop(ctx, s, direct, through); err != nil {
		return err
	}
	return closedLoop(ctx, s, direct, through)
}

// awaitService announces the backend and waits until a call through the host
// succeeds.
func awaitService(ctx context.Context, client *announce.Client, through *target) error {
	deadline := time.Now().Add(startTimeout)
	for {
		err := client.Serve(ctx)
		if err == nil {
			err = through.call(ctx)
		}
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errs.New("no successful call to %s within %s: %v", through.url, startTimeout, err)
		}
		time.Sleep(startTimeout / 100)
	}
}
