package main

import (
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// tick is the unit of CPU time in /proc on Linux.
	tick = 10 * time.Millisecond
	// userField and systemField are places after the command's name.
	userField   = 11
	systemField = 12
)

// cpuTime returns the CPU time that a process has used, or 0 when it cannot be
// read.
func cpuTime(process int) time.Duration {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(process) + "/stat")
	if err != nil {
		return 0
	}
	_, rest, ok := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * tick
}
