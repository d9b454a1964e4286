// Package serve implements the command "control serve", which runs a control host.
package serve

import (
	"context"

	"github.com/mustardramp/mustardramp/internal/host"
	"github.com/mustardramp/mustardramp/internal/setting"
	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options holds the arguments and flags of the command.
type Options struct {
	factory.Common
	Data string `help:"Folder for the host's durable state; it is locked." required:"" env:"MUSTARDRAMP_DATA"`

	factory *factory.Factory
}

// New returns the command, which uses the output and the connections of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Help returns the description and the examples of the command's help text.
func (Options) Help() string {
	return `The list of --control names every control host, this one too.

Examples:

  mustardramp control serve --name control-1 --zone kol-a --region kolkata \
      --link 127.0.0.1:7104 --admin-listen 127.0.0.1:7103 --data /var/lib/mustardramp \
      --control control-1=127.0.0.1:7104/kol-a/kolkata \
      --admin-token 0123456789abcdef`
}

// Run runs the control host until the context ends.
func (o *Options) Run(ctx context.Context) error {
	config, err := o.hostConfig()
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

// hostConfig returns the configuration of the host, or an error that lists all
// invalid settings.
func (o *Options) hostConfig() (host.ControlConfig, error) {
	var check setting.Checker
	config := host.ControlConfig{Common: o.Check(&check), Data: o.Data}
	check.Folder("--data", o.Data)
	check.Self("--name", config.Name, "--control", config.Control)
	return config, check.Err()
}
