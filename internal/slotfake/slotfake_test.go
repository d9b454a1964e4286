package slotfake

import (
	"testing"
	"time"
)

func TestBackendShedsBeyondSlotsAndQueue(t *testing.T) {
	var clock Clock
	b := Backend{Clock: &clock, Slots: 2, Queue: 1}
	got := map[Answer]int{}
	for range 5 {
		b.Serve(time.Second, func(a Answer) { got[a]++ })
	}
	clock.Run(10 * time.Second)
	if got[Served] != 3 || got[Shed] != 2 {
		t.Errorf("got %v, want 3 served and 2 shed", got)
	}
	if got, want := b.Used(), 3*time.Second; got != want {
		t.Errorf("got %s of slot time, want %s", got, want)
	}
}

func TestClockRunsEventsInOrder(t *testing.T) {
	var clock Clock
	var got []int
	clock.After(time.Second, func() { got = append(got, 2) })
	clock.After(time.Second, func() { got = append(got, 3) })
	clock.After(0, func() { got = append(got, 1) })
	clock.Run(time.Minute)
	for i, n := range got {
		if n != i+1 {
			t.Fatalf("got order %v, want 1 2 3", got)
		}
	}
	if got, want := clock.Elapsed(), time.Minute; got != want {
		t.Errorf("got elapsed time %s, want %s", got, want)
	}
}
