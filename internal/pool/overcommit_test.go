package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/slotfake"
)

// TestSlotsStayInUseOverBusyLinks guards against slots that stay unused while
// messages are delayed. A service runs at three quarters of its capacity, and
// its keeper learns of the end of each lease late because uploads fill the
// links. Nine of ten requests must be answered within their target, and the
// backends must not shed.
func TestSlotsStayInUseOverBusyLinks(t *testing.T) {
	const (
		backends, slots, queue = 10, 3, 24
		work                   = 320 * time.Millisecond
		target                 = time.Second
		oneWay                 = 150 * time.Millisecond
		span                   = 30 * time.Second
		perSecond              = 0.75 * backends * slots / 0.32
	)
	var clock slotfake.Clock
	random := rand.New(rand.NewPCG(1, 13))
	c := NewCore(Config{Terms: terms(), Strategy: LowestCost{}, SingleTier: true, Seed: 1})
	servers := map[mustardramp.BackendID]*slotfake.Backend{}
	var standings []mustardramp.Standing
	for i := range backends {
		s := serving(i, mustardramp.Place{}, slots)
		standings = append(standings, s)
		servers[s.Backend.ID] = &slotfake.Backend{Clock: &clock, Slots: slots, Queue: queue}
	}
	c.Update(clock.Now(), standings)
	arrived, inTime := 0, 0
	begin := func(lease Lease, since time.Time) {
		clock.After(oneWay, func() {
			began := clock.Now()
			length := time.Duration((0.6 + 0.8*random.Float64()) * float64(work))
			servers[lease.Backend().ID].Serve(length, func(a slotfake.Answer) {
				ended := clock.Now()
				result := mustardramp.ResultSuccess
				if a == slotfake.Shed {
					result = mustardramp.ResultShed
				} else if ended.Sub(since) <= target {
					inTime++
				}
				clock.After(oneWay, func() { c.Finish(clock.Now(), lease, result, ended.Sub(began)) })
			})
		})
	}
	waits := map[*Ticket]time.Time{}
	c.onSettled = func(ticket *Ticket) {
		clock.After(0, func() {
			if since, ok := waits[ticket]; ok && ticket.denial == nil {
				begin(ticket.lease, since)
			}
		})
	}
	slotfake.NewSource(1).Poisson(&clock, perSecond, 0, span, func() {
		arrived++
		now := clock.Now()
		lease, ticket, _ := c.Offer(now, mustardramp.Demand{
			Rank: mustardramp.Normal, Idempotent: true, Target: now.Add(target), Deadline: now.Add(6 * target),
		})
		switch {
		case lease.Valid():
			begin(lease, now)
		case ticket != nil:
			waits[ticket] = now
		}
	})
	clock.Run(span + 10*time.Second)
	sheds := 0
	for _, s := range servers {
		sheds += s.Sheds()
	}
	if got := float64(inTime) / float64(arrived); got < 0.9 || sheds > 0 {
		t.Errorf("got %.2f of %d requests in time and %d shed, want at least 0.9 and none", got, arrived, sheds)
	}
}
