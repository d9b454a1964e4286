package host

import (
	"testing"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/callerlimit"
)

// TestCallerLimitsOfAHost guards against settings that the limits for callers ignore.
func TestCallerLimitsOfAHost(t *testing.T) {
	tests := map[string]struct {
		config          Common
		wantMemory      mustardramp.Bytes
		wantConnections int
	}{
		"from the host":     {Common{Memory: 136 << 20, Descriptors: 1000}, 34 << 20, 375},
		"from the settings": {Common{Memory: 136 << 20, Descriptors: 1000, CallerMemory: 1 << 20, CallerConnections: 20}, 1 << 20, 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var g guards
			g.init(&test.config)
			if g.account.Limit != test.wantMemory || g.maxConnections != test.wantConnections {
				t.Errorf("got %d bytes and %d connections, want %d and %d", g.account.Limit, g.maxConnections, test.wantMemory, test.wantConnections)
			}
			side := g.newSide("administration", false)
			g.newMain("callers", nil, false)
			if !g.account.Reserve(callerlimit.ConnectionCost, callerlimit.ConnectionCost) || len(g.counters()) != 2*len(side.Counts()) {
				t.Errorf("got %d counters, want those of two servers", len(g.counters()))
			}
		})
	}
}
