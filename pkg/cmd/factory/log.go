package factory

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp/internal/logqueue"
)

// QuietLogs discards all log lines of the process. Commands with output for people
// call it.
func QuietLogs() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

// WithLogs calls run and writes the log lines to standard output meanwhile. It returns
// the error of run.
func WithLogs(run func() error) error {
	stop, err := startLogs()
	if err != nil {
		return err
	}
	defer stop()
	return run()
}

// startLogs writes log lines to standard output through a queue, so that a slow reader
// of the output never blocks a request. The returned function flushes the queue.
func startLogs() (func(), error) {
	flags := flag.NewFlagSet("logs", flag.ContinueOnError)
	klog.InitFlags(flags)
	// Without these flags, klog writes an event once for each lower severity, and
	// errors to standard error too.
	err := errors.Join(flags.Set("one_output", "true"), flags.Set("stderrthreshold", "FATAL"))
	if err != nil {
		return nil, err
	}
	klog.LogToStderr(false)
	queue := logqueue.New(os.Stdout)
	klog.SetOutput(queue)
	return func() {
		klog.Flush()
		if err := queue.Close(); err != nil {
			fmt.Fprintln(os.Stderr, "log lines were lost:", err)
		}
	}, nil
}
