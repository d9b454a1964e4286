package lease

import (
	"fmt"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
)

const (
	// maxWaitingRequests is the maximum number of requests of one rank that one
	// host has waiting at one keeper.
	maxWaitingRequests = 48
	// maxOverloadRequests replaces maxWaitingRequests at a keeper whose reported
	// wait is longer than the rank may wait. It is above 0 so that the host sees
	// when the overload ends.
	maxOverloadRequests = 2
	// minWaitError is the smallest relevant error of an expected wait: a smaller
	// one needs no new record, and groups whose costs differ by at most this much
	// count as equal.
	minWaitError = 25 * time.Millisecond
	// PressureInterval is the interval at which Pool.Pressure must be called.
	PressureInterval = 100 * time.Millisecond
)

// ErrPressure is the class of errors of encoding and decoding a Pressure.
var ErrPressure = errs.Class("pressure")

// Pressure is the payload of a record of kind RecordPressure. It reports the
// expected waits in the queue of one group.
type Pressure struct {
	Service mustardramp.ServiceName `cbor:"1,keyasint"`
	Group   GroupID                 `cbor:"2,keyasint"`
	// Waits holds the expected wait of a new request by rank.
	Waits [mustardramp.RankCount]time.Duration `cbor:"3,keyasint"`
}

// DecodePressure decodes the payload of a record of kind RecordPressure.
func DecodePressure(record mustardramp.Record) (Pressure, error) {
	var p Pressure
	if record.Kind != mustardramp.RecordPressure {
		return p, ErrPressure.New("record of kind %d", record.Kind)
	}
	if err := cbor.Unmarshal(record.Payload, &p); err != nil {
		return p, ErrPressure.Wrap(err)
	}
	return p, nil
}

// record returns the record that carries the pressure.
func (p *Pressure) record(holder Holder, sequence uint64) (mustardramp.Record, error) {
	payload, err := cbor.Marshal(p)
	if err != nil {
		return mustardramp.Record{}, ErrPressure.Wrap(err)
	}
	return mustardramp.Record{
		Kind:    mustardramp.RecordPressure,
		Key:     fmt.Sprintf("%s/%s/%d@%s", p.Service, p.Group.Region, p.Group.Part, holder.Host),
		Version: mustardramp.Version{Epoch: uint64(holder.Incarnation), Sequence: sequence},
		Payload: payload,
	}, nil
}

// pressureReports holds the waits that this host last reported for the groups that
// it keeps.
type pressureReports struct {
	last     map[GroupID]reportedWaits
	sequence uint64
}

// reportedWaits holds the reported waits of a group by rank and the time of the
// report.
type reportedWaits struct {
	waits [mustardramp.RankCount]time.Duration
	at    time.Time
}

// Pressure returns a record for each group whose waits differ from those that
// other hosts expect. One goroutine must call it every PressureInterval.
func (p *Pool) Pressure() ([]mustardramp.Record, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var records []mustardramp.Record
	var group errs.Group
	now := p.clock.Now()
	p.lessors.Range(func(key, value any) bool {
		id := key.(GroupID)
		current := Pressure{Service: p.terms.Service, Group: id}
		for _, r := range mustardramp.Ranks() {
			current.Waits[r] = value.(*lessor).pool.ExpectedWait(r)
		}
		if !p.pressure.update(id, current.Waits, now) {
			return true
		}
		p.pressure.sequence++
		record, err := current.record(p.config.Holder, p.pressure.sequence)
		if err != nil {
			group.Add(err)
			return true
		}
		records = append(records, record)
		return true
	})
	return records, group.Err()
}

// update reports whether the waits differ enough from those that other hosts
// expect after the last report, and if so stores them as the last report.
func (s *pressureReports) update(id GroupID, waits [mustardramp.RankCount]time.Duration, now time.Time) bool {
	last := s.last[id]
	age := now.Sub(last.at)
	changed := false
	for r := range waits {
		expected := max(0, last.waits[r]-age)
		if (waits[r] - expected).Abs() >= max(minWaitError, waits[r]/4) {
			changed = true
		}
	}
	if !changed {
		return false
	}
	if s.last == nil {
		s.last = map[GroupID]reportedWaits{}
	}
	s.last[id] = reportedWaits{waits: waits, at: now}
	return true
}

// ApplyPressure stores the waits in a record of kind RecordPressure. It ignores
// records of other services.
func (p *Pool) ApplyPressure(record mustardramp.Record) error {
	pressure, err := DecodePressure(record)
	if err != nil {
		return err
	}
	if pressure.Service != p.config.Pool.Terms.Service {
		return nil
	}
	for _, r := range mustardramp.Ranks() {
		p.recordWait(pressure.Group, r, pressure.Waits[r])
	}
	return nil
}

// waitingLimit returns how many requests of a rank may wait at a group's keeper.
func (p *Pool) waitingLimit(g *group, rank mustardramp.Rank) int {
	longest := p.longestWait(rank)
	if longest > 0 && p.expectedWait(g.id, rank, p.clock.Now().UnixNano()) > float64(longest) {
		return maxOverloadRequests
	}
	return maxWaitingRequests
}

// longestWait returns the longest time that a request of the rank may wait.
func (p *Pool) longestWait(rank mustardramp.Rank) time.Duration {
	if t := p.ranks.Load(); t != nil {
		return t[rank].Wait
	}
	return 0
}

// overloadDenial returns the denial of a demand that this host doesn't send to an
// overloaded keeper.
func (p *Pool) overloadDenial(g *group, peer *peer, demand *mustardramp.Demand, limit int) *mustardramp.Denial {
	expected := time.Duration(p.expectedWait(g.id, demand.Rank, p.clock.Now().UnixNano()))
	return &mustardramp.Denial{
		Kind: mustardramp.KindPressure,
		Reason: fmt.Sprintf("The service is overloaded for rank %s: %d requests of this host wait already, and the expected wait is %s.",
			demand.Rank, limit, expected.Round(time.Millisecond)),
		Facts: []mustardramp.Fact{
			{Name: "rank", Value: demand.Rank.String()},
			intFact("limit", limit),
			{Name: "wait", Value: expected.Round(time.Millisecond).String()},
			{Name: "share", Value: strconv.FormatFloat(float64(p.share(demand.Rank)), 'f', -1, 64) + "%"},
			{Name: "keeper", Value: string(peer.name)},
		},
		RetryAfter: max(time.Second, expected/2),
	}
}

// share returns the rank's guaranteed share of the slots.
func (p *Pool) share(rank mustardramp.Rank) mustardramp.Percent {
	if t := p.ranks.Load(); t != nil {
		return t[rank].Share
	}
	return 0
}
