// Command stand-2 plays the cases of review/6 and above: it starts the system's processes
// and the stand-ins for servers, clients and the operator, and judges what they saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRunTime bounds a run; a script may take 120 s.
const maxRunTime = 115 * time.Second

// stopOnSignal ends the processes of the fleet and the case if it is interrupted or takes
// too long.
func (f *fleet) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case s := <-signals:
		f.record.note("the case was interrupted: %v", s)
	case <-time.After(maxRunTime):
		f.record.note("the case took longer than %v", maxRunTime)
	}
	f.stopAll()
	_ = os.RemoveAll(f.folder)
	os.Exit(exitFailed)
}

// verdict is the result of a case that could run.
type verdict struct {
	broken bool
	reason string
}

// testCase plays a case. With trouble unset it leaves the disruption out.
type testCase func(f *fleet, trouble bool) (verdict, error)

var cases = map[string]testCase{
	"stray": playStray,
	"early": playEarly,
	"cut":   playCut,
	"gone":  playGone,
	"shed":  playShed,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		return exitFailed
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case %s, disruption %v", os.Args[1], trouble)
	f := newFleet(folder, record)
	go f.stopOnSignal()
	v, err := cases[os.Args[1]](f, trouble)
	f.stopAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	} else {
		fmt.Println("logs in", filepath.Clean(folder))
	}
	switch {
	case err != nil:
		record.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitFailed
	case v.broken:
		record.note("BROKEN: %s", v.reason)
		fmt.Println("BROKEN:", v.reason)
		return exitBroken
	}
	record.note("held: %s", v.reason)
	fmt.Println("held:", v.reason)
	return exitHeld
}
