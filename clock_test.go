package mustardramp

import (
	"testing"
	"time"
)

// TestClockFollowsJumpsOfTheTimeOfDay compares what the clock tells without its
// monotonic part, as decisions do, with the time that passed.
func TestClockFollowsJumpsOfTheTimeOfDay(t *testing.T) {
	var clock SystemClock
	first := clock.Now()
	for range 10_000 {
		now := clock.Now()
		if got, want := now.UnixNano()-first.UnixNano(), int64(now.Sub(first)); got != want {
			t.Fatalf("got %d ns between two times, want the %d ns that passed", got, want)
		}
	}
}

// TestTimeOfDay has times that clocks told and times that were read.
func TestTimeOfDay(t *testing.T) {
	read := time.Date(2026, 8, 24, 1, 32, 44, 5, time.UTC)
	if got := TimeOfDay(read); !got.Equal(read) {
		t.Errorf("got %v, want %v", got, read)
	}
	before := time.Now().Round(0)
	got := TimeOfDay(SystemClock{}.Now())
	if after := time.Now().Round(0); got.Before(before.Add(-time.Millisecond)) || got.After(after.Add(time.Millisecond)) {
		t.Errorf("got %v, want a time from %v to %v", got, before, after)
	}
}
