package main

import (
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTick is the unit of CPU times in /proc on Linux.
	clockTick = 10 * time.Millisecond
	// userTimeField and systemTimeField are the indexes of the user and system
	// CPU time among the fields of /proc/PID/stat after the command name.
	userTimeField   = 11
	systemTimeField = 12
)

// cpuTime returns the CPU time that a process has used, or 0 if it cannot be
// read.
func cpuTime(process int) time.Duration {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(process) + "/stat")
	if err != nil {
		return 0
	}
	_, rest, ok := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= systemTimeField {
		return 0
	}
	user, _ := strconv.Atoi(fields[userTimeField])
	system, _ := strconv.Atoi(fields[systemTimeField])
	return time.Duration(user+system) * clockTick
}
