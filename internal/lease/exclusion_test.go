package lease

import (
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
)

// noteAnswer has a host use the backend with the given number and the backend state
// something about itself in its answer.
func noteAnswer(t *testing.T, p *Pool, number int, n mustardramp.Notice) {
	t.Helper()
	want := standing(number, kolA, 1).Backend.ID
	var others []mustardramp.Slot
	defer func() {
		for _, s := range others {
			s.Release(mustardramp.ResultSuccess, time.Millisecond)
		}
	}()
	for range 20 {
		slot, err := p.Acquire(t.Context(), bulk())
		if err != nil {
			t.Fatal(err)
		}
		if slot.Backend().ID != want {
			others = append(others, slot)
			continue
		}
		slot.Note(n)
		slot.Release(mustardramp.ResultSuccess, time.Millisecond)
		return
	}
	t.Fatalf("got no slot at %s, want one", want)
}

// usedBackends returns how often 30 requests through a host go to each backend.
func usedBackends(t *testing.T, p *Pool) map[mustardramp.BackendID]int {
	t.Helper()
	used := map[mustardramp.BackendID]int{}
	for range 30 {
		slot, err := p.Acquire(t.Context(), bulk())
		if err != nil {
			t.Fatal(err)
		}
		used[slot.Backend().ID]++
		time.Sleep(5 * time.Millisecond)
		slot.Release(mustardramp.ResultSuccess, 5*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
	}
	return used
}

// TestNoticesKeepRequestsAway checks which hosts still use a backend after it stated
// in an answer to one host that it is leaving or wants quiet, before any record of
// that has spread.
func TestNoticesKeepRequestsAway(t *testing.T) {
	tests := map[string]struct {
		notice mustardramp.Notice
		wait   time.Duration
		// restart announces a later incarnation before the requests.
		restart              bool
		wantSelf, wantKeeper bool
	}{
		"leaving":                 {notice: mustardramp.Notice{Leaving: true}},
		"leaving, after a minute": {notice: mustardramp.Notice{Leaving: true}, wait: time.Minute},
		"leaving, a later start":  {notice: mustardramp.Notice{Leaving: true}, restart: true, wantSelf: true, wantKeeper: true},
		"quiet":                   {notice: mustardramp.Notice{Quiet: 10 * time.Second}, wantKeeper: true},
		"quiet, after its end":    {notice: mustardramp.Notice{Quiet: 10 * time.Second}, wait: 10 * time.Second, wantSelf: true, wantKeeper: true},
		"quiet, a later start":    {notice: mustardramp.Notice{Quiet: 10 * time.Second}, restart: true, wantSelf: true, wantKeeper: true},
		"leaving and quiet, at the end": {
			notice: mustardramp.Notice{Leaving: true, Quiet: time.Second}, wait: 2 * time.Second,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second := standing(1, kolA, 1), standing(2, kolA, 1)
				net := newNetwork(4, first, second)
				defer net.close()
				p, keeper := poolWithRemoteKeeper(net)
				noteAnswer(t, p, 1, test.notice)
				counts := p.NoticeCounts()
				if got, want := counts.Left.Load() == 1, test.notice.Leaving; got != want {
					t.Errorf("counted as leaving: got %t, want %t", got, want)
				}
				if got, want := counts.Quieted.Load() == 1, test.notice.Quiet > 0; got != want {
					t.Errorf("counted as quiet: got %t, want %t", got, want)
				}
				if test.restart {
					first.Backend.Incarnation++
					for _, pool := range net.pools {
						pool.Update([]mustardramp.Standing{first, second})
					}
				}
				time.Sleep(test.wait)
				if got := usedBackends(t, p)[first.Backend.ID] > 0; got != test.wantSelf {
					t.Errorf("requests of this host: got %t, want %t", got, test.wantSelf)
				}
				if got := usedBackends(t, net.pools[keeper])[first.Backend.ID] > 0; got != test.wantKeeper {
					t.Errorf("requests of the keeper: got %t, want %t", got, test.wantKeeper)
				}
			})
		})
	}
}

// TestGrantInFlightIsGivenBack guards against the use of a slot that was granted, or
// that a request had waited for, when the backend asked for quiet. The request goes
// to the other backend instead.
func TestGrantInFlightIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(4, standing(1, kolA, 1), standing(2, kolA, 1))
		defer net.close()
		p, _ := poolWithRemoteKeeper(net)
		var slots []mustardramp.Slot
		for range 2 {
			slot, err := p.Acquire(t.Context(), bulk())
			if err != nil {
				t.Fatal(err)
			}
			slots = append(slots, slot)
		}
		quiet, other := slots[0], slots[1]
		granted := make(chan mustardramp.Slot, 1)
		var group errgroup.Group
		group.Go(func() error {
			slot, err := p.Acquire(t.Context(), bulk())
			granted <- slot
			return err
		})
		time.Sleep(100 * time.Millisecond)
		quiet.Note(mustardramp.Notice{Quiet: 10 * time.Second})
		quiet.Release(mustardramp.ResultShed, time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		other.Release(mustardramp.ResultSuccess, time.Millisecond)
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		slot := <-granted
		if got, want := slot.Backend().ID, other.Backend().ID; got != want {
			t.Errorf("got backend %s, want %s", got, want)
		}
		slot.Release(mustardramp.ResultSuccess, time.Millisecond)
	})
}

// TestQuietServiceIsRefusedAtOnce checks that requests are refused with the remaining
// time, those that wait too, once the last backend has asked for quiet.
func TestQuietServiceIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(4, standing(1, kolA, 1))
		defer net.close()
		p, _ := poolWithRemoteKeeper(net)
		slot, err := p.Acquire(t.Context(), bulk())
		if err != nil {
			t.Fatal(err)
		}
		refusals := make(chan error, 2)
		var group errgroup.Group
		group.Go(func() error {
			_, err := p.Acquire(t.Context(), bulk())
			refusals <- err
			return nil
		})
		time.Sleep(100 * time.Millisecond)
		noted := time.Now()
		slot.Note(mustardramp.Notice{Quiet: 8 * time.Second})
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		if got, want := time.Since(noted), 10*time.Millisecond; got > want {
			t.Errorf("refusal of the waiting request: got it after %s, want it within %s", got, want)
		}
		_, err = p.Acquire(t.Context(), bulk())
		refusals <- err
		for range 2 {
			var denial *mustardramp.Denial
			if err := <-refusals; !errors.As(err, &denial) || denial.Kind != mustardramp.KindQuiet {
				t.Fatalf("got %v, want a refusal of kind quiet", err)
			}
			if got := denial.RetryAfter; got < 7900*time.Millisecond || got > 10400*time.Millisecond {
				t.Errorf("time to return: got %s, want 8 s and up to 30 %% more", got)
			}
		}
		slot.Release(mustardramp.ResultShed, time.Millisecond)
		time.Sleep(8 * time.Second)
		again, err := p.Acquire(t.Context(), bulk())
		if err != nil {
			t.Fatalf("after the end of the quiet time: got %v, want a slot", err)
		}
		again.Release(mustardramp.ResultSuccess, time.Millisecond)
	})
}

// TestExclusionFollowsItsBackendToAnotherGroup guards against requests for a backend
// that is to be left alone when its service grows and its backends are divided anew.
func TestExclusionFollowsItsBackendToAnotherGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var standings []mustardramp.Standing
		for i := range groupSize {
			standings = append(standings, standing(i, kolA, 1))
		}
		net := newNetwork(4, standings...)
		defer net.close()
		p, _ := poolWithRemoteKeeper(net)
		for i := range standings {
			b := standings[i].Backend
			p.note(&b, mustardramp.Notice{Quiet: time.Hour})
		}
		for i := range 2 * groupSize {
			standings = append(standings, standing(groupSize+i, kolA, 1))
		}
		p.Update(standings)
		for _, g := range p.plan.Load().groups {
			excluded := p.excludedBackends(g)
			for i := range g.standings {
				id := g.standings[i].Backend.ID
				isQuiet := slices.ContainsFunc(standings[:groupSize], func(s mustardramp.Standing) bool { return s.Backend.ID == id })
				if got := slices.Contains(excluded, id); got != isQuiet {
					t.Errorf("%s in part %d: got it named in the requests to its group: %t, want %t", id, g.id.Part, got, isQuiet)
				}
			}
		}
	})
}
