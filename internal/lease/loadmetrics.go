package lease

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// loadSampleSize and loadDecayFactor configure the exponentially decaying samples
	// of LoadMetrics, which favor the last minutes.
	loadSampleSize  = 64
	loadDecayFactor = 0.015
	// choicesPerAge is the number of choices of which one has its age recorded, so
	// that the metric costs little on the path of a request.
	choicesPerAge = 16
	// imbalanceUnit is the unit of recorded imbalances.
	imbalanceUnit = 0.001
)

// LoadMetrics shows how evenly the slots of a service are used.
type LoadMetrics struct {
	// Age is the age of the stated room of the chosen group in nanoseconds. An unknown
	// or older one counts as the age limit.
	Age metrics.Histogram
	// Backends is the standard deviation of the utilization of the backends of each
	// group that this host keeps, and Groups that of the rooms that this host knows
	// of. Both are in thousandths of the slots.
	Backends, Groups metrics.Histogram
}

func newLoadMetrics() LoadMetrics {
	histogram := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(loadSampleSize, loadDecayFactor))
	}
	return LoadMetrics{Age: histogram(), Backends: histogram(), Groups: histogram()}
}

// LoadMetrics returns the metrics of the service's load.
func (p *Pool) LoadMetrics() *LoadMetrics {
	return &p.loadMetrics
}

// recordAge records the age of the knowledge of a chosen group.
func (p *Pool) recordAge(g *group, now time.Time) {
	limit := p.maxLoadAge()
	if limit == 0 || p.draws.Load()%choicesPerAge != 0 {
		return
	}
	age := limit
	if value, ok := p.waits.Load(g.id); ok {
		if _, known, ok, _ := value.(*groupWaits).room.at(now, limit); ok {
			age = known
		}
	}
	p.loadMetrics.Age.Update(int64(age))
}

// recordImbalance records the imbalance of the groups that this host keeps and of
// the groups that it knows of.
func (p *Pool) recordImbalance(now time.Time) {
	plan := p.plan.Load()
	p.lessors.Range(func(id, l any) bool {
		if p.isFirstKeeper(plan.byID[id.(GroupID)]) {
			p.loadMetrics.Backends.Update(int64(l.(*lessor).pool.Room().Imbalance / imbalanceUnit))
		}
		return true
	})
	sum, squares, n := 0.0, 0.0, 0.0
	for _, g := range plan.groups {
		if room, ok := p.knownRoom(g, now, p.maxLoadAge()); ok {
			sum, squares, n = sum+room, squares+room*room, n+1
		}
	}
	if n > 1 {
		p.loadMetrics.Groups.Update(int64(math.Sqrt(max(0, squares/n-sum/n*sum/n)) / imbalanceUnit))
	}
}
