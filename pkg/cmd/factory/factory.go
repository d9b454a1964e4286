// Package factory provides what the commands share: output streams, the clock,
// flags,
// connections to hosts, contract files and exit codes.
package factory

import (
	"context"
	"io"
	"os"

	"golang.org/x/term"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/admin"
)

// defaultWidth is the width in columns of an output that is not a terminal.
const defaultWidth = 80

// Streams holds the input and output streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal is true if Out is a terminal. Tables are then aligned and have a
	// heading.
	Terminal bool
	// Width is the number of columns of the terminal; at least 1.
	Width int
}

// Factory holds the dependencies of the commands. Tests replace some of its fields.
type Factory struct {
	Streams Streams
	Clock   mustardramp.Clock
	// Dial returns a client of the administration API of a host.
	Dial func(admin.Target) (*admin.Client, error)
	// Version is the version of the program.
	Version string
	// ForceStop ends when the operator interrupts a graceful stop, so that the
	// host no longer waits for the requests in flight. It may be nil.
	ForceStop context.Context
}

// ForceStopContext returns ForceStop, or a context that never ends.
func (f *Factory) ForceStopContext() context.Context {
	if f.ForceStop == nil {
		return context.Background()
	}
	return f.ForceStop
}

// New returns the factory of the program: it uses the standard streams, the system
// clock and real connections.
func New(version string) *Factory {
	return &Factory{
		Streams: systemStreams(),
		Clock:   mustardramp.SystemClock{},
		Dial:    admin.Dial,
		Version: version,
	}
}

// systemStreams returns the standard streams of the process.
func systemStreams() Streams {
	s := Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Width: defaultWidth}
	fd := int(os.Stdout.Fd())
	if !term.IsTerminal(fd) {
		return s
	}
	s.Terminal = true
	if width, _, err := term.GetSize(fd); err == nil && width > 0 {
		s.Width = width
	}
	return s
}
