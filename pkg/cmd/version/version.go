// Package version is the command version.
package version

import (
	"runtime"

	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options are the flags of version.
type Options struct {
	factory *factory.Factory
}

// New returns the command.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Run prints the version.
func (o *Options) Run() error {
	o.factory.Streams.Print("mustardramp %s %s %s/%s\n", o.factory.Version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return nil
}
