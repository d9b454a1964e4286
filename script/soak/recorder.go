package main

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"time"
)

// brokenPromises are the names of the promises that are broken on purpose.
type brokenPromises []string

func (b brokenPromises) isBroken(promise string) bool {
	return slices.Contains(b, promise)
}

// recorder records what callers observe and compares it with what the backends
// ran.
type recorder struct {
	brokenPromises

	mu sync.Mutex
	// onceRequests holds the run keys of the requests that must run at most once.
	onceRequests map[string]bool
	// deniedRuns holds the run keys of the requests whose caller was told that
	// they did not run.
	deniedRuns map[string]bool
	// violations holds the broken promises that callers detected.
	violations []error
	// outcomeCounts counts the outcomes of requests and publications by kind.
	outcomeCounts map[string]int
	// newestRevision is the newest acknowledged revision of the contracts.
	newestRevision int
	// faultCounts counts the faults by kind.
	faultCounts map[string]int
	// disturbances holds, by the name of a process, the times in which it was paused,
	// ended or being ended.
	disturbances map[string][]disturbance
}

// disturbance is the time of a fault of a process. The end is zero while it lasts.
type disturbance struct {
	start, end time.Time
}

// startDisturbance records that a fault of a process starts, and returns the function
// that records its end.
func (r *recorder) startDisturbance(process string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disturbances == nil {
		r.disturbances = map[string][]disturbance{}
	}
	i := len(r.disturbances[process])
	r.disturbances[process] = append(r.disturbances[process], disturbance{start: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.disturbances[process][i].end = time.Now()
	}
}

// isDisturbed reports whether a process had a fault between two times.
func (r *recorder) isDisturbed(process string, from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.disturbances[process], func(d disturbance) bool {
		return d.start.Before(to) && (d.end.IsZero() || d.end.After(from))
	})
}

// recordSent records that the request with a run key was sent and must run at most
// once.
func (r *recorder) recordSent(runKey string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.onceRequests == nil {
		r.onceRequests, r.deniedRuns, r.outcomeCounts = map[string]bool{}, map[string]bool{}, map[string]int{}
	}
	r.onceRequests[runKey] = true
}

// recordDenied records that the caller of a request was told that it did not run.
func (r *recorder) recordDenied(runKey string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deniedRuns[runKey] = true
}

func (r *recorder) countOutcome(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcomeCounts == nil {
		r.outcomeCounts = map[string]int{}
	}
	r.outcomeCounts[kind]++
}

func (r *recorder) recordViolation(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, err)
}

func (r *recorder) countFault(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faultCounts == nil {
		r.faultCounts = map[string]int{}
	}
	r.faultCounts[kind]++
}

func (r *recorder) recordRevision(revision int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newestRevision = max(r.newestRevision, revision)
}

// acknowledgedRevision returns the newest acknowledged revision of the
// contracts.
func (r *recorder) acknowledgedRevision() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBroken("config") {
		return r.newestRevision + 1
	}
	return r.newestRevision
}

// checkRuns compares what callers were told with what ran, and returns all
// violations. It is called after the fleet has ended.
func (r *recorder) checkRuns(f *fleet) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := map[string]int{}
	for _, b := range f.backends {
		for runKey, n := range b.RunCounts() {
			runs[runKey] += n
		}
	}
	if r.isBroken("twice") || r.isBroken("denial") {
		for runKey := range r.onceRequests {
			runs[runKey] = 2
			r.deniedRuns[runKey] = r.isBroken("denial")
			break
		}
	}
	found := r.violations
	for runKey := range r.onceRequests {
		if runs[runKey] > 1 {
			found = append(found, fmt.Errorf("at most once: request %s ran %d times", runKey, runs[runKey]))
		}
		if r.deniedRuns[runKey] && runs[runKey] > 0 {
			found = append(found, fmt.Errorf("not run: request %s was denied as not run, and ran", runKey))
		}
	}
	return errors.Join(found...)
}

func (r *recorder) summary(s *settings) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("seed %d: %v of faults %v; answers %v; revision %d acknowledged", s.Seed, s.For, r.faultCounts, r.outcomeCounts, r.newestRevision)
}

var revisionPattern = regexp.MustCompile(`path: "/revision".*deadline: (\d+)s`)

// revisionOf returns the revision that publish wrote into a contract, or 0 if
// there is none.
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
