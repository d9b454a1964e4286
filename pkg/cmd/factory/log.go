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

// QuietLogs drops all log lines, for commands whose output is for people.
func QuietLogs() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

// WithLogs runs a host with its log lines on standard output.
func WithLogs(run func() error) error {
	end, err := serveLogs()
	if err != nil {
		return err
	}
	defer end()
	return run()
}

// serveLogs sends log lines to standard output, through a queue that never
// blocks a request. The function that it returns writes the last ones.
func serveLogs() (func(), error) {
	flags := flag.NewFlagSet("logs", flag.ContinueOnError)
	klog.InitFlags(flags)
	// One line for each event, whatever its severity.
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
