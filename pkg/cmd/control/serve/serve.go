// Package serve is the command control serve.
package serve

import (
	"context"

	"github.com/mustardramp/mustardramp/internal/host"
	"github.com/mustardramp/mustardramp/internal/setting"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options are the flags of control serve.
type Options struct {
	factory.Common
	Data string `help:"Folder for the host's durable state; it is locked." required:"" env:"MUSTARDRAMP_DATA"`

	factory *factory.Factory
}

// New returns the command.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help gives examples.
func (Options) Help() string {
	return `The list of --control names every control host, this one too.

Examples:

  mustardramp control serve --name control-1 --zone kol-a --region kolkata \
      --link 127.0.0.1:7104 --admin-listen 127.0.0.1:7103 --data /var/lib/mustardramp \
      --control control-1=127.0.0.1:7104/kol-a/kolkata \
      --admin-token 0123456789abcdef`
}

// Run serves until the context ends.
func (o *Options) Run(ctx context.Context) error {
	config, err := o.config()
	if err != nil {
		return &factory.Problem{Code: factory.ExitUsage, Reason: err.Error(), Remedy: "mend the settings and start again"}
	}
	return factory.WithLogs(func() error {
		control, err := host.NewControl(config)
		if err != nil {
			return err
		}
		return control.Run(ctx)
	})
}

func (o *Options) config() (host.ControlConfig, error) {
	var check setting.Checker
	config := host.ControlConfig{Common: o.Check(&check), Data: o.Data}
	check.Folder("--data", o.Data)
	check.Self("--name", config.Name, "--control", config.Control)
	return config, check.Err()
}
