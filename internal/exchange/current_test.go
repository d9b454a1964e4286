package exchange

import (
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// TestOnlyHostsWithoutControlAreNotCurrent guards against entry hosts that count as out
// of date although control hosts reach them, and against one that counts as current
// after it lost all control hosts.
func TestOnlyHostsWithoutControlAreNotCurrent(t *testing.T) {
	const (
		controls = 5
		hosts    = controls + 99
		settle   = 10 * time.Second
		samples  = 120
		interval = 500 * time.Millisecond
		cutHost  = controls
	)
	for test, tc := range map[string]struct {
		oneWay time.Duration
		loss   float64
	}{
		"idle links":               {idleOneWayDelay, 0},
		"busy links, message loss": {100 * time.Millisecond, 0.03},
	} {
		t.Run(test, func(t *testing.T) {
			m := newMeshWithControls(t, 1, hosts, controls)
			m.oneWayDelay, m.loss = tc.oneWay, tc.loss
			m.startConfirming()
			m.offerAtControls(change("*", 1, 3000), nil)
			m.run(settle)
			stale := map[mustardramp.HostName]int{}
			for range samples {
				for _, name := range m.names[controls:] {
					if !m.nodes[name].IsCurrent(m.now) {
						stale[name]++
					}
				}
				m.run(interval)
			}
			if len(stale) > 0 {
				t.Errorf("got %v not current, want all hosts that control hosts reach", stale)
			}
			m.setControlCut(cutHost, true)
			m.run(maxCurrentSilence + interval)
			if m.nodes[hostName(cutHost)].IsCurrent(m.now) {
				t.Error("got a host without control hosts current, want it not to be")
			}
		})
	}
}
