package main

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"sync"
)

// ledger notes what callers saw, and judges it against what backends ran.
type ledger struct {
	// breaks names a promise that is broken on purpose.
	breaks string

	mu sync.Mutex
	// sent holds the names of the requests that must not repeat.
	sent map[string]bool
	// denied holds the names of those whose caller was told that they did not run.
	denied map[string]bool
	// faults are broken promises that a caller saw by itself.
	faults []error
	// counts are the answers by kind.
	counts map[string]int
	// acked is the newest acknowledged revision of the contracts.
	acked int
	// injected counts the faults by kind.
	injected map[string]int
}

func (l *ledger) sending(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sent == nil {
		l.sent, l.denied, l.counts = map[string]bool{}, map[string]bool{}, map[string]int{}
	}
	l.sent[id] = true
}

func (l *ledger) deny(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.denied[id] = true
}

func (l *ledger) note(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = map[string]int{}
	}
	l.counts[kind]++
}

func (l *ledger) fault(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, err)
}

func (l *ledger) inject(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.injected == nil {
		l.injected = map[string]int{}
	}
	l.injected[kind]++
}

func (l *ledger) ack(revision int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked = max(l.acked, revision)
}

func (l *ledger) acknowledged() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.breaks == "config" {
		return l.acked + 1
	}
	return l.acked
}

// judge compares what callers were told with what ran. The fleet has ended.
func (l *ledger) judge(f *fleet) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := map[string]int{}
	for _, b := range f.backends {
		for name, n := range b.RunCounts() {
			runs[name] += n
		}
	}
	if l.breaks == "twice" || l.breaks == "denial" {
		for id := range l.sent {
			runs[id] = 2
			l.denied[id] = l.breaks == "denial"
			break
		}
	}
	all := l.faults
	for id := range l.sent {
		if runs[id] > 1 {
			all = append(all, fmt.Errorf("at most once: request %s ran %d times", id, runs[id]))
		}
		if l.denied[id] && runs[id] > 0 {
			all = append(all, fmt.Errorf("not run: request %s was denied as not run, and ran", id))
		}
	}
	return errors.Join(all...)
}

func (l *ledger) summary(s *settings) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("seed %d: %v of faults %v; answers %v; revision %d acknowledged", s.Seed, s.For, l.injected, l.counts, l.acked)
}

var revisionPattern = regexp.MustCompile(`path: "/revision".*deadline: (\d+)s`)

// revisionOf reads the revision that publish wrote into a contract, or 0.
func revisionOf(text string) int {
	match := revisionPattern.FindStringSubmatch(text)
	if match == nil {
		return 0
	}
	n, err := strconv.Atoi(match[1])
	if err != nil {
		return 0
	}
	return n
}
