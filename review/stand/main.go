// Command stand plays the cases of the review that are scripts: it starts the fleet
// as separate processes on loopback addresses, with small stand-ins for callers,
// backend servers and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// group holds the goroutines of the stand-ins. They end with the process.
var group errgroup.Group

// maxCaseTime is the time after which a case is given up.
const maxCaseTime = 117 * time.Second

// play runs one case. It reports whether the rule was broken.
type play func(f *record, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"bigtable": playBigTable,
	"drain":    playDrain,
	"memory":   playMemory,
}

func main() {
	os.Exit(runCase())
}

// runCase plays the case that the arguments name and returns the exit code. It ends
// the processes of the case if it is interrupted or takes longer than maxCaseTime.
func runCase() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE FOLDER")
		return exitFailed
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	ended := make(chan int, 1)
	group.Go(func() error {
		ended <- playCase(r)
		return nil
	})
	select {
	case code := <-ended:
		return code
	case <-stopped:
	case <-time.After(maxCaseTime):
	}
	r.add("interrupted")
	stopFleets()
	return exitFailed
}

func playCase(r *record) int {
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case", "name", os.Args[1], "trouble", trouble)
	broken, err := plays[os.Args[1]](r, trouble)
	r.add("result", "broken", broken, "error", err)
	fmt.Println("broken:", broken, "error:", err)
	switch {
	case err != nil:
		return exitFailed
	case broken:
		return exitBroken
	}
	return exitHeld
}
