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
	// last is the last statement.
	last float64
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
	r.last, r.statedAt, r.stale = share, now, false
}

// at returns the mean room with its age. It reports false if the room is unknown or
// older than maxAge. becameStale is true at the first such call after a statement.
func (r *statedRoom) at(now time.Time, maxAge time.Duration) (mean float64, age time.Duration, ok, becameStale bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mean, age, ok = r.read(now, maxAge)
	if !ok && !r.statedAt.IsZero() {
		becameStale, r.stale = !r.stale, true
	}
	return mean, age, ok, becameStale
}

// read returns the same as at without a change of the room. The caller holds r.mu.
func (r *statedRoom) read(now time.Time, maxAge time.Duration) (mean float64, age time.Duration, ok bool) {
	if r.statedAt.IsZero() {
		return 0, 0, false
	}
	age = max(0, now.Sub(r.statedAt))
	if age > maxAge {
		return 0, age, false
	}
	return r.mean, age, true
}

// maxLoadAge returns the age beyond which stated rooms are not used, or 0 when
// groups are not chosen by their room.
func (p *Pool) maxLoadAge() time.Duration {
	if p.config.MaxLoadAge == 0 {
		return DefaultMaxLoadAge
	}
	return max(0, p.config.MaxLoadAge)
}

// usesRooms reports whether the choice among the groups depends on their rooms.
func (p *Pool) usesRooms(groups []*group) bool {
	return p.maxLoadAge() > 0 && len(groups) > 1
}

// recordRoom stores a statement of the free slots of a group.
func (p *Pool) recordRoom(g *group, free *int32) {
	if free == nil || !p.usesRooms(p.plan.Load().groups) {
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
	if !p.usesRooms(groups) {
		for _, g := range groups {
			weights = append(weights, float64(g.weight()))
		}
		return weights
	}
	// Each room is read only once, since rooms change concurrently.
	for _, g := range groups {
		room, ok := p.knownRoom(g, now, maxAge)
		if !ok {
			room = math.NaN()
		}
		weights = append(weights, room)
	}
	weighRooms(groups, weights)
	return weights
}

// weighRooms replaces the room of each group by its weight. An unknown room is NaN.
func weighRooms(groups []*group, weights []float64) {
	free, slots := 0.0, 0.0
	for i, g := range groups {
		if room := weights[i]; !math.IsNaN(room) {
			size := float64(g.weight())
			free, slots = free+max(0, room)*size, slots+size
		}
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
