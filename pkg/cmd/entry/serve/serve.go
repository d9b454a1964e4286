// Package serve implements the command "entry serve", which runs an entry host.
package serve

import (
	"context"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/host"
	"github.com/mustardramp/mustardramp/internal/setting"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options holds the arguments and flags of the command.
type Options struct {
	factory.Common
	Listen         string            `help:"Address for callers." default:"127.0.0.1:7001" env:"MUSTARDRAMP_LISTEN" placeholder:"IP:PORT"`
	AnnounceListen string            `help:"Address for backends' announcements." default:"127.0.0.1:7002" env:"MUSTARDRAMP_ANNOUNCE_LISTEN" placeholder:"IP:PORT"`
	AnnounceToken  string            `help:"Token that backends announce with." required:"" env:"MUSTARDRAMP_ANNOUNCE_TOKEN"`
	CallerHeader   string            `help:"Header in which a trusted balancer states the caller; empty trusts none." env:"MUSTARDRAMP_CALLER_HEADER"`
	TLSCert        string            `help:"PEM file of the certificate for callers; turns TLS on." env:"MUSTARDRAMP_TLS_CERT"`
	TLSKey         string            `help:"PEM file of the certificate's key." env:"MUSTARDRAMP_TLS_KEY"`
	TLSClientCA    string            `help:"PEM file of the authority of callers' certificates." env:"MUSTARDRAMP_TLS_CLIENT_CA"`
	RefusalBytes   mustardramp.Bytes `help:"Memory for refusals, in bytes." default:"16777216" env:"MUSTARDRAMP_REFUSAL_BYTES"`
	LinkRate       mustardramp.Bytes `help:"Rate of the host's own link each way, in bytes a second; 0 paces no bodies." default:"0" env:"MUSTARDRAMP_LINK_RATE"`
	StopDelay      time.Duration     `help:"Time from the fall of readiness to the end of accepting, for the balancer." default:"5s" env:"MUSTARDRAMP_STOP_DELAY"`
	LoadAge        time.Duration     `help:"Age up to which the free slots that other hosts stated count in the choice of a backend; 0 ignores them." default:"5s" env:"MUSTARDRAMP_LOAD_AGE"`
	Grace          time.Duration     `help:"Time from a signal to stop until the process is ended from outside; 0 if it is not." default:"0s" env:"MUSTARDRAMP_GRACE"`
	Pipeline       int               `help:"Pipelined GET and HEAD requests of one connection in plain text that may be in progress, in requests; 1 runs one after the other." default:"4" env:"MUSTARDRAMP_PIPELINE"`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the examples of the command's help text.
func (Options) Help() string {
	return `Examples:

  mustardramp entry serve --name entry-1 --zone kol-a --region kolkata \
      --control control-1=127.0.0.1:7104/kol-a/kolkata \
      --admin-token 0123456789abcdef --announce-token fedcba9876543210`
}

// Run runs the entry host until the context ends.
func (o *Options) Run(ctx context.Context) error {
	config, err := o.hostConfig()
	if err != nil {
		return &factory.Problem{Code: factory.ExitUsage, Reason: err.Error(), Remedy: "mend the settings and start again"}
	}
	return factory.WithLogs(func() error {
		entry, err := host.NewEntry(config)
		if err != nil {
			return err
		}
		return entry.Run(ctx, o.factory.ForceStopContext())
	})
}

// hostConfig returns the configuration of the host, or an error that lists all
// invalid settings.
func (o *Options) hostConfig() (host.EntryConfig, error) {
	var check setting.Checker
	config := host.EntryConfig{
		Common:        o.Check(&check),
		Listen:        check.Listener("--listen", o.Listen),
		Announce:      check.Listener("--announce-listen", o.AnnounceListen),
		AnnounceToken: o.AnnounceToken,
		CallerHeader:  o.CallerHeader,
		TLS:           host.Files{Cert: o.TLSCert, Key: o.TLSKey, CA: o.TLSClientCA},
		RefusalBytes:  o.RefusalBytes,
		LinkRate:      o.LinkRate,
		StopDelay:     o.StopDelay,
		Grace:         o.Grace,
		Pipeline:      o.Pipeline,
		MaxLoadAge:    o.LoadAge,
	}
	if o.LoadAge <= 0 {
		config.MaxLoadAge = -1
	}
	check.Grace("--grace", o.Grace, "--stop-delay", o.StopDelay)
	check.Pipeline("--pipeline", o.Pipeline)
	check.Secret("--announce-token", o.AnnounceToken)
	check.Pair("--tls-cert", o.TLSCert, "--tls-key", o.TLSKey)
	check.File("--tls-client-ca", o.TLSClientCA)
	return config, check.Err()
}
