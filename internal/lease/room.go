package lease

import (
	"math"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// DefaultMaxLoadAge is the Config.MaxLoadAge of a pool that sets none.
const DefaultMaxLoadAge = 5 * time.Second

const (
	// roomSmoothing is the time constant of the mean of a group's stated room.
	// Statements are up to one second old on busy links. Hosts that follow each
	// statement at that age overload the groups in turn: in a burst 0.67 % of the slot
	// time is idle while requests wait, instead of 0.36 % (docs/design/even-load.md).
	// A mean over some seconds shows unhealthy and slow backends, which last that
	// long, and not the noise of single requests.
	roomSmoothing = 4 * time.Second
	// roomGain is the relative change of a group's weight per relative difference
	// of its use from that of the service. A higher gain evens out more of a lasting
	// difference. Above about the smoothing time divided by the age of statements, 4 at
	// an age of one second, the load swings between the groups.
	roomGain = 3
	// minRoomShare is the least weight of a group relative to its slots. A group
	// that is believed full still gets some requests, whose grants state when it has
	// room again.
	minRoomShare = 0.05
	// minUse bounds the use of the service that weights are relative to. A small
	// difference of groups that are nearly idle needs no change.
	minUse = 0.05
)

// statedRoom is what the keepers of a group stated about its free slots. Its zero
// value is an unknown room.
type statedRoom struct {
	mu sync.Mutex
	// mean is the moving mean of the free slots less the waiting requests, divided
	// by the slots.
	mean float64
	// statedAt is the time of the last statement, or the zero time.
	statedAt time.Time
	// stale is true while the room counts as unknown because of its age.
	stale bool
}

// observe records a statement.
func (r *statedRoom) observe(share float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	weight := 1.0
	if !r.statedAt.IsZero() && !r.stale {
		weight = 1 - math.Exp(-max(0, now.Sub(r.statedAt).Seconds())/roomSmoothing.Seconds())
	}
	r.mean += weight * (share - r.mean)
	r.statedAt, r.stale = now, false
}

// at returns the mean room with its age. It reports false if the room is unknown or
// older than maxAge. becameStale is true at the first such call after a statement.
func (r *statedRoom) at(now time.Time, maxAge time.Duration) (mean float64, age time.Duration, ok, becameStale bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.statedAt.IsZero() {
		return 0, 0, false, false
	}
	age = max(0, now.Sub(r.statedAt))
	if age > maxAge {
		becameStale, r.stale = !r.stale, true
		return 0, age, false, becameStale
	}
	return r.mean, age, true, false
}

// maxLoadAge returns the age beyond which stated rooms are not used, or 0 when
// groups are not chosen by their room.
func (p *Pool) maxLoadAge() time.Duration {
	if p.config.MaxLoadAge == 0 {
		return DefaultMaxLoadAge
	}
	return max(0, p.config.MaxLoadAge)
}

// recordRoom stores a statement of the free slots of a group.
func (p *Pool) recordRoom(g *group, free *int32) {
	if free == nil || p.maxLoadAge() == 0 || len(p.plan.Load().groups) < 2 {
		return
	}
	p.groupWaits(g.id).room.observe(float64(*free)/float64(g.weight()), p.clock.Now())
}

// roomWeights returns the weight of each group in the random choice, appended to
// weights: its slots, more if it has more room than the service has on average and
// less if it has less. A group whose room is unknown or too old has its slots as
// weight. Random choices by smoothed weights do not make hosts with the same
// knowledge choose the same group.
func (p *Pool) roomWeights(groups []*group, weights []float64, now time.Time) []float64 {
	maxAge := p.maxLoadAge()
	if maxAge == 0 || len(groups) < 2 {
		for _, g := range groups {
			weights = append(weights, float64(g.weight()))
		}
		return weights
	}
	// Each room is read only once, since rooms change concurrently. An unknown room
	// is NaN.
	free, slots := 0.0, 0.0
	for _, g := range groups {
		size := float64(g.weight())
		room, ok := p.knownRoom(g, now, maxAge)
		if !ok {
			weights = append(weights, math.NaN())
			continue
		}
		weights = append(weights, room)
		free, slots = free+max(0, room)*size, slots+size
	}
	mean := min(1, free/max(1, slots))
	gain := roomGain / (1 - mean + minUse)
	for i, g := range groups {
		share := 1.0
		if room := weights[i]; !math.IsNaN(room) {
			share = max(minRoomShare, 1+gain*(room-mean))
		}
		weights[i] = share * float64(g.weight())
	}
	return weights
}

// knownRoom returns the mean room of a group as a share of its slots. It reports
// false if the room is unknown or too old.
func (p *Pool) knownRoom(g *group, now time.Time, maxAge time.Duration) (float64, bool) {
	value, ok := p.waits.Load(g.id)
	if !ok {
		return 0, false
	}
	mean, age, ok, becameStale := value.(*groupWaits).room.at(now, maxAge)
	if becameStale {
		klog.V(1).InfoS("group-load-unknown", "service", p.config.Pool.Terms.Service, "region", g.id.Region, "part", g.id.Part, "age", age)
	}
	return mean, ok
}
