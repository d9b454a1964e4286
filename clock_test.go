package mustardramp

import (
	"testing"
	"time"
)

// TestSystemClockWallTimeMatchesElapsedTime guards against decisions that follow
// a jump of the time of day. Decisions compare wall times without their monotonic
// part, so differences of wall times must equal the time that elapsed.
func TestSystemClockWallTimeMatchesElapsedTime(t *testing.T) {
	var clock SystemClock
	first := clock.Now()
	for range 10_000 {
		now := clock.Now()
		if got, want := now.UnixNano()-first.UnixNano(), int64(now.Sub(first)); got != want {
			t.Fatalf("got a wall time difference of %d ns, want the %d ns that elapsed", got, want)
		}
	}
}

// TestTimeOfDay converts a time without a monotonic part, which must stay as it
// is, and a reading of SystemClock, which must become the current time of day.
func TestTimeOfDay(t *testing.T) {
	withoutMonotonic := time.Date(2026, 8, 24, 1, 32, 44, 5, time.UTC)
	if got := TimeOfDay(withoutMonotonic); !got.Equal(withoutMonotonic) {
		t.Errorf("got %v, want %v", got, withoutMonotonic)
	}
	before := time.Now().Round(0)
	got := TimeOfDay(SystemClock{}.Now())
	if after := time.Now().Round(0); got.Before(before.Add(-time.Millisecond)) || got.After(after.Add(time.Millisecond)) {
		t.Errorf("got %v, want a time from %v to %v", got, before, after)
	}
}
