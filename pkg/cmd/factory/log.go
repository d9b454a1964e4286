package factory

import (
	"io"

	"k8s.io/klog/v2"
)

// QuietLogs drops all log lines, for commands whose output is for people.
func QuietLogs() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}
