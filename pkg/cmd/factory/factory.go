// Package factory holds what the commands share: streams, clock, settings of
// the connection to a host.
package factory

import (
	"context"
	"io"
	"os"

	"golang.org/x/term"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/admin"
)

// defaultWidth is the width of the output in columns when it is no terminal.
const defaultWidth = 80

// Streams are the command's input and output.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal is true when Out is a terminal: tables are aligned then.
	Terminal bool
	// Width is the number of columns of the terminal, at least 1.
	Width int
}

// Factory makes what commands need. Tests swap single fields.
type Factory struct {
	Streams Streams
	Clock   mustardramp.Clock
	// Dial returns a client of a host's administration API.
	Dial func(admin.Target) (*admin.Client, error)
	// Version is the version of the program.
	Version string
	// Cut ends when the operator cuts what a graceful stop waits for; it may
	// be nil.
	Cut context.Context
}

// CutContext returns Cut, or a context that never ends.
func (f *Factory) CutContext() context.Context {
	if f.Cut == nil {
		return context.Background()
	}
	return f.Cut
}

// New returns the factory of the real program.
func New(version string) *Factory {
	return &Factory{
		Streams: system(),
		Clock:   mustardramp.SystemClock{},
		Dial:    admin.Dial,
		Version: version,
	}
}

func system() Streams {
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
