package host

import (
	"testing"

	"github.com/mustardramp/mustardramp"
)

// TestUpdateRateFollowsTheLink guards against hosts that spread records of joined
// backends at a rate far below what their link carries.
func TestUpdateRateFollowsTheLink(t *testing.T) {
	const megabit = 125_000
	for name, tc := range map[string]struct {
		link, want mustardramp.Bytes
	}{
		"no limit":     {0, 0},
		"1.6 Mbit/s":   {1.6 * megabit, 10_000},
		"4.8 Mbit/s":   {4.8 * megabit, 30_000},
		"1,000 Mbit/s": {1000 * megabit, 32 << 10},
		"0.1 Mbit/s":   {megabit / 10, 625},
	} {
		t.Run(name, func(t *testing.T) {
			if got := updateRate(tc.link); got != tc.want {
				t.Errorf("got %d bytes a second, want %d", got, tc.want)
			}
		})
	}
}
