// Command stand-3 holds the stand-ins of the third review: servers, consumers, an operator
// and the platform that starts the processes of a small deployment. Each case is a command.
package main

import (
	"fmt"
	"os"

	"golang.org/x/sync/errgroup"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// background holds the goroutines that end with the process.
var background errgroup.Group

// cases holds the cases by name. A case returns whether the rule was broken.
var cases = map[string]func(record *record, trouble bool) (bool, error){
	"promise":    runPromise,
	"replaced":   runReplaced,
	"successors": runSuccessors,
	"foreign":    runForeign,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	out, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	broken, err := cases[os.Args[1]](out, os.Getenv("TROUBLE") != "0")
	code := exitHeld
	switch {
	case err != nil:
		out.note("not run: %v", err)
		code = exitNotRun
	case broken:
		out.note("the rule was broken")
		code = exitBroken
	default:
		out.note("the rule held")
	}
	out.close()
	os.Exit(code)
}
