package host

import (
	"context"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// TestOrdersTogetherExceedTheMemory guards against a control host that reads as many
// large configurations at the same time as operators send.
func TestOrdersTogetherExceedTheMemory(t *testing.T) {
	const memory = 280 << 20
	for name, tc := range map[string]struct {
		memory mustardramp.Bytes
		size   mustardramp.Bytes
		want   int
	}{
		"1,880 routes":                   {memory: memory, size: 450 << 10, want: 13},
		"5,640 routes":                   {memory: memory, size: 1350 << 10, want: 4},
		"larger than the budget":         {memory: memory, size: 16 << 20, want: 1},
		"small orders do not wait":       {memory: memory, size: 2 << 10, want: orderLimitOfTest},
		"a host without a memory limit":  {size: 16 << 20, want: orderLimitOfTest},
		"a body of the smallest waiting": {memory: 1 << 20, size: 65 << 10, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			budget := newOrderBudget(tc.memory)
			if got := reserveAll(t, &budget, tc.size); got != tc.want {
				t.Errorf("got %d orders at the same time, want %d", got, tc.want)
			}
		})
	}
}

// orderLimitOfTest is the number of orders that reserveAll tries.
const orderLimitOfTest = 32

// waitOfTest is the wait after which reserveAll takes an order for one that waits.
const waitOfTest = 20 * time.Millisecond

// reserveAll counts the orders of a size that are admitted without waiting. After one
// of them has ended, one more must be admitted.
func reserveAll(t *testing.T, b *orderBudget, size mustardramp.Bytes) int {
	t.Helper()
	reserve := func() (func(), error) {
		ctx, cancel := context.WithTimeout(t.Context(), waitOfTest)
		defer cancel()
		return b.reserve(ctx, size)
	}
	var releases []func()
	for range orderLimitOfTest {
		release, err := reserve()
		if err != nil {
			break
		}
		releases = append(releases, release)
	}
	if len(releases) == 0 {
		return 0
	}
	releases[0]()
	release, err := reserve()
	if err != nil {
		t.Fatalf("after the end of an order: got %v, want a reservation", err)
	}
	release()
	return len(releases)
}
