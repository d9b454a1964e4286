package main

import (
	"io"
	"net/http"
	"time"
)

const (
	// spareHosts is how many control hosts follow each other as the sixth one.
	spareHosts = 9
	// replacedHosts is how many of the first five are then replaced, one after the other.
	replacedHosts = 3
)

// runSuccessors adds a sixth control host, which is replaced by an empty one again and
// again, and then replaces some of the first five in the same way. No more than one host
// counts as lost at a time.
func runSuccessors(out *record, trouble bool) (bool, error) {
	const running = 5
	f, err := newFleetWithSpares(running, spareHosts+replacedHosts, 2)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	s, err := newServer("catalogue", "i-0", zoneNames[0])
	if err != nil {
		return false, err
	}
	s.answer = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "found") }
	stop, err := f.bring(versioned(1), []*server{s})
	if err != nil {
		return false, err
	}
	defer stop()
	spares := f.controls[running:]
	if trouble {
		if err := f.succeed(out, nil, spares[0]); err != nil {
			return false, err
		}
		for i := range spareHosts - 1 {
			if err := f.succeed(out, spares[i], spares[i+1]); err != nil {
				return false, err
			}
		}
	}
	version := 1
	for i := range replacedHosts {
		version++
		if err := f.change(out, version); err != nil {
			return false, err
		}
		if trouble {
			if err := f.succeed(out, f.controls[running-1-i], spares[spareHosts+i]); err != nil {
				return false, err
			}
		}
	}
	return !f.isReadBack(out, version), nil
}

// succeed takes a host away for good and starts an empty one in its place. It returns once
// the empty one has had the time to catch up. A nil host stands for none.
func (f *fleet) succeed(out *record, gone, successor *node) error {
	if gone != nil {
		out.note("%s is gone for good", gone.name)
		gone.kill()
		time.Sleep(replacedAfter)
	}
	out.note("%s starts with an empty disk", successor.name)
	if err := f.start(successor, false); err != nil {
		return err
	}
	time.Sleep(catchUp + margin)
	return nil
}
