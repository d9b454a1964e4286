package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// freezeTime is the time for which one control host is frozen, replacedAfter the time
	// after which an empty host takes the place of the one that is gone.
	freezeTime    = 7 * time.Second
	replacedAfter = time.Second
	// catchUp is that of the settings: how long a host counts as lost after it is back.
	catchUp = 4 * time.Second
	// margin is the time that the disks are lost later than the frozen host ceases to count
	// as lost.
	margin = 50 * time.Millisecond
	// wipedFor is the time for which the hosts that lose their disks are down.
	wipedFor = 700 * time.Millisecond
	// readTime is the time in which the configuration is read, twice the recovery of the
	// settings, readPause the time between two reads.
	readTime  = 30 * time.Second
	readPause = 200 * time.Millisecond
	// orderLimit is the time in which a change is acknowledged in calm.
	orderLimit = 10 * time.Second
)

// replacedRounds is how often the case is played, each time with a new fleet: whether the
// frozen host is back in the group in time depends on a random election timeout.
const replacedRounds = 3

// runReplaced plays the case until the rule is broken.
func runReplaced(out *record, trouble bool) (bool, error) {
	for round := range replacedRounds {
		out.note("round %d", round+1)
		if broken, err := replaceOnce(out, trouble); broken || err != nil {
			return broken, err
		}
	}
	return false, nil
}

// replaceOnce takes a control host away for good, freezes another one, and starts an empty
// one in place of the first. Once nothing counts as lost any more, two hosts lose their disks.
func replaceOnce(out *record, trouble bool) (bool, error) {
	f, err := newFleetWithSpares(5, 1, 2)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	s, err := newServer("catalogue", "i-0", zoneNames[0])
	if err != nil {
		return false, err
	}
	s.answer = func(http.ResponseWriter, *http.Request) {}
	stop, err := f.bring(versioned(1), []*server{s})
	if err != nil {
		return false, err
	}
	defer stop()
	byID, err := f.membersByID()
	if err != nil {
		return false, err
	}
	frozen, gone, others := byID[0], byID[len(byID)-1], byID[1:len(byID)-1]
	if trouble {
		out.note("%s is gone for good, %s is frozen", gone.name, frozen.name)
		gone.kill()
		if err := frozen.signal(syscall.SIGSTOP); err != nil {
			return false, err
		}
		time.Sleep(replacedAfter)
		spare := f.controls[len(f.controls)-1]
		out.note("%s starts with an empty disk", spare.name)
		if err := f.start(spare, false); err != nil {
			return false, err
		}
		time.Sleep(freezeTime - replacedAfter)
		out.note("%s goes on", frozen.name)
		if err := frozen.signal(syscall.SIGCONT); err != nil {
			return false, err
		}
	}
	back := time.Now()
	if err := f.change(out, 2); err != nil {
		return false, err
	}
	time.Sleep(time.Until(back.Add(catchUp + margin)))
	for _, n := range others[:2] {
		out.note("%s loses its disk", n.name)
		n.kill()
	}
	time.Sleep(wipedFor)
	for _, n := range others[:2] {
		if err := os.RemoveAll(filepath.Join(f.folder, n.name)); err != nil {
			return false, err
		}
		if err := f.start(n, false); err != nil {
			return false, err
		}
	}
	return !f.isReadBack(out, 2), nil
}

// versioned returns a configuration with a version.
func versioned(version int) []byte {
	text, err := configuration(version, []route{{"catalogue", "a.example", "/catalogue/", "safe", "catalogue", time.Duration(2000+version) * time.Millisecond}})
	if err != nil {
		panic(err)
	}
	return text
}

// change has a configuration acknowledged.
func (f *fleet) change(out *record, version int) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderLimit)
	defer cancel()
	status, err := f.order(ctx, versioned(version))
	out.note("configuration r%d answered %d, %v", version, status, err)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("configuration r%d: status %d", version, status)
	}
	return err
}

// isReadBack reports whether a control host gives back a version or a later one within
// readTime.
func (f *fleet) isReadBack(out *record, version int) bool {
	for until := time.Now().Add(readTime); time.Now().Before(until); time.Sleep(readPause) {
		for _, n := range f.controls {
			status, text, err := f.call(n, "configuration.get", nil)
			out.note("read at %s answered %d, %v", n.name, status, err)
			var got struct{ Version string }
			if err != nil || status != http.StatusOK || json.Unmarshal(text, &got) != nil {
				continue
			}
			out.note("read back %s", got.Version)
			number, err := strconv.Atoi(strings.TrimPrefix(got.Version, "r"))
			return err == nil && number >= version
		}
	}
	return false
}

var memberLine = regexp.MustCompile(`"member-opened".* member=(\d+)`)

// membersByID returns the running control hosts in the order of the ids that they drew at
// their start, which their logs tell.
func (f *fleet) membersByID() ([]*node, error) {
	ids := map[*node]uint64{}
	running := slices.Clone(f.controls[:len(f.controls)-f.spares])
	for _, n := range running {
		text, err := os.ReadFile(n.logPath)
		if err != nil {
			return nil, err
		}
		found := memberLine.FindSubmatch(text)
		if found == nil {
			return nil, errors.New("no id in the log of " + n.name)
		}
		if ids[n], err = strconv.ParseUint(string(found[1]), 10, 64); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(running, func(a, b *node) int { return cmp.Compare(ids[a], ids[b]) })
	return running, nil
}
