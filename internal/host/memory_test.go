package host

import (
	"math"
	"runtime/debug"
	"testing"

	"github.com/mustardramp/mustardramp"
)

// TestHeapOutgrowsTheHost guards against a heap that grows to twice the live data and
// beyond the memory of the host before garbage is collected.
func TestHeapOutgrowsTheHost(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	for name, tc := range map[string]struct {
		memory mustardramp.Bytes
		want   int64
	}{
		"control host of 280 MiB": {memory: 280 << 20, want: 196 << 20},
		"no limit":                {want: math.MaxInt64},
	} {
		t.Run(name, func(t *testing.T) {
			debug.SetMemoryLimit(math.MaxInt64)
			c := Common{Memory: tc.memory}
			c.limitMemory()
			if got := debug.SetMemoryLimit(-1); got != tc.want {
				t.Errorf("got a memory limit of %d bytes, want %d", got, tc.want)
			}
		})
	}
}
