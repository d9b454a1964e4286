package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/mustardramp/mustardramp/platform/platformtest"
)

const (
	// settleTime is the time after the acknowledgement of a routing table in which
	// all undisturbed entry hosts have it in force.
	settleTime = 2500 * time.Millisecond
	// disturbedTime is the time after a fault for which an entry host may still use
	// an earlier routing table.
	disturbedTime = 3 * time.Second
	// quotaWindow is the time over which the requests of a workspace are counted.
	quotaWindow = 5 * time.Second
)

// quotaLimit is the largest number of requests of the limited workspace that may run
// in quotaWindow.
var quotaLimit = int((quotaRate*quotaWindow.Seconds()+quotaBurst)*1.1 + 20)

// keyedRequest is a request with what its key stands for and its answer.
type keyedRequest struct {
	// workspace is the only workspace that the key ever identifies, or empty.
	workspace string
	// rotating is the number of the key if it is one of the rotating ones.
	rotating int
	// isUnknown is set if the request needs a key and has none of any table.
	isUnknown bool
	// isValid is set if the request is allowed by every routing table.
	isValid bool
	// entry is the name of the entry host.
	entry          string
	sent, answered time.Time
	status         int
	// holdsKey is set if a key appeared in the answer.
	holdsKey bool
}

// keyedRun is a run of a request at a backend.
type keyedRun struct {
	id         string
	workspaces []string
	started    time.Time
	// holdsKey is set if a key appeared in the request.
	holdsKey bool
}

// holdsKey reports whether a key appears in headers or in a text.
func holdsKey(header http.Header, text string) bool {
	return strings.Contains(fmt.Sprint(header, text), keyMark)
}

func (w *workspaceSoak) recordRun(r *http.Request) {
	found := keyedRun{
		id: path.Base(r.URL.Path), workspaces: r.Header[platformtest.WorkspaceHeader], started: time.Now(),
		holdsKey: holdsKey(r.Header, r.RequestURI),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, found)
}

func (w *workspaceSoak) recordAnswer(request *keyedRequest, response *http.Response, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	request.answered, request.status = time.Now(), response.StatusCode
	if w.isBroken("answerkey") {
		text += keyMark
	}
	request.holdsKey = holdsKey(response.Header, text)
}

// firstFrom returns the earliest of the times of the versions from first on. ok is
// false if there is none.
func firstFrom(times map[int]time.Time, first int) (earliest time.Time, ok bool) {
	for version, t := range times {
		if version >= first && (!ok || t.Before(earliest)) {
			earliest, ok = t, true
		}
	}
	return earliest, ok
}

// check compares the requests with their runs and answers, and returns all broken
// promises. It is called after the fleet has ended. The errors name requests and
// never keys.
func (w *workspaceSoak) check(rec *recorder) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := w.checkLogs()
	removedCount := 0
	for _, run := range w.runs {
		request := w.requests[run.id]
		if run.holdsKey {
			found = append(found, fmt.Errorf("key leak: request %s reached a backend with a key", run.id))
		}
		if request == nil {
			found = append(found, fmt.Errorf("workspace: an unknown request %s ran", run.id))
			continue
		}
		if request.isUnknown || strings.Join(run.workspaces, ",") != request.workspace {
			found = append(found, fmt.Errorf("workspace: request %s ran under %q, its key identifies %q", run.id, run.workspaces, request.workspace))
		}
		if w.isRemoved(request) && !rec.isDisturbed(request.entry, request.sent.Add(-disturbedTime), request.sent) {
			removed, _ := firstFrom(w.acknowledged, request.rotating+rotatingKeys)
			found = append(found, fmt.Errorf("removed key: request %s at %s ran under key %d, sent %v after the removal was acknowledged and run %v after it",
				run.id, request.entry, request.rotating, request.sent.Sub(removed), run.started.Sub(removed)))
		}
	}
	validCount := 0
	for id, request := range w.requests {
		if request.holdsKey {
			found = append(found, fmt.Errorf("key leak: the answer to request %s holds a key", id))
		}
		if w.isRemoved(request) {
			removedCount++
		}
		if request.status == 0 || !request.isValid && !w.isCalm(request, rec) {
			continue
		}
		validCount++
		switch request.status {
		case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
			found = append(found, fmt.Errorf("unauthorized: valid request %s at %s (workspace %q, key %d) got %d", id, request.entry, request.workspace, request.rotating, request.status))
		}
	}
	worst, at := w.worstWindow()
	if worst > quotaLimit {
		found = append(found, fmt.Errorf("quota: %d requests of the limited workspace ran in the %v from %s on, at most %d may", worst, quotaWindow, at.Format(time.TimeOnly), quotaLimit))
	}
	fmt.Printf("workspaces: %d requests under removed keys and %d under valid ones judged; at most %d of %d requests in %v\n", removedCount, validCount, worst, quotaLimit, quotaWindow)
	return errors.Join(found...)
}

// isRemoved reports whether a request was sent when no undisturbed entry host accepted
// its key any more.
func (w *workspaceSoak) isRemoved(request *keyedRequest) bool {
	if request.rotating == 0 {
		return false
	}
	removed, ok := firstFrom(w.acknowledged, request.rotating+rotatingKeys)
	return ok && request.sent.After(removed.Add(settleTime))
}

// isCalm reports whether the rotating key of a request was valid from the time it was
// sent until its answer, at an undisturbed entry host.
func (w *workspaceSoak) isCalm(request *keyedRequest, rec *recorder) bool {
	if request.rotating == 0 || request.answered.IsZero() {
		return false
	}
	added, ok := firstFrom(w.acknowledged, request.rotating)
	if removal, isOffered := firstFrom(w.offered, request.rotating+rotatingKeys); isOffered && removal.Before(request.answered) {
		return false
	}
	return ok && request.sent.After(added.Add(settleTime)) &&
		!rec.isDisturbed(request.entry, request.sent.Add(-disturbedTime), request.answered)
}

// worstWindow returns the largest number of requests of the limited workspace whose
// first runs started within quotaWindow, and the start of that time.
func (w *workspaceSoak) worstWindow() (worst int, at time.Time) {
	first := map[string]time.Time{}
	for _, run := range w.runs {
		if t, ok := first[run.id]; slices.Contains(run.workspaces, limited) && (!ok || run.started.Before(t)) {
			first[run.id] = run.started
		}
	}
	var starts []time.Time
	for _, t := range first {
		starts = append(starts, t)
	}
	slices.SortFunc(starts, time.Time.Compare)
	from := 0
	for i, t := range starts {
		for t.Sub(starts[from]) >= quotaWindow {
			from++
		}
		if n := i - from + 1; n > worst {
			worst, at = n, starts[from]
		}
	}
	return worst, at
}

// checkLogs returns an error for each log of a process in which a key appears.
func (w *workspaceSoak) checkLogs() []error {
	var found []error
	for _, p := range slices.Concat(w.f.controls, w.f.entries) {
		text, err := os.ReadFile(filepath.Join(w.f.settings.Logs, p.name+".log"))
		if w.isBroken("log") {
			text = append(text, keyMark...)
		}
		if err == nil && strings.Contains(string(text), keyMark) {
			err = fmt.Errorf("key leak: the log of %s holds a key", p.name)
		}
		if err != nil {
			found = append(found, err)
		}
	}
	return found
}
