// Package version implements the command "version", which prints the version.
package version

import (
	"runtime"

	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// Options holds the flags of the command.
type Options struct {
	factory *factory.Factory
}

// New returns the command, which prints the version of f.
func New(f *factory.Factory) Options {
	return Options{factory: f}
}

// Run prints the versions of the program and of Go, and the platform.
func (o *Options) Run() error {
	o.factory.Streams.Print("mustardramp %s %s %s/%s\n", o.factory.Version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return nil
}
