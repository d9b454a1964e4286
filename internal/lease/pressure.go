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
	// maxAsks is the number of asks of one rank that one host lets wait at one
	// keeper.
	maxAsks = 48
	// probes is the number of asks that still go to a keeper whose stated wait
	// is longer than the rank may wait, so that its relief is seen.
	probes = 2
	// leastError is the error of what hosts expect that is worth a record.
	leastError = 25 * time.Millisecond
	// PressureInterval is how often Pressure is to be called.
	PressureInterval = 100 * time.Millisecond
)

// ErrPressure is the class of errors for a payload that is not a Pressure.
var ErrPressure = errs.Class("pressure")

// Pressure is the payload of a record of the kind RecordPressure: what a
// keeper says of the queue of one group.
type Pressure struct {
	Service mustardramp.ServiceName `cbor:"1,keyasint"`
	Group   GroupID                 `cbor:"2,keyasint"`
	// Waits are the times that a new request of each rank would wait.
	Waits [mustardramp.RankCount]time.Duration `cbor:"3,keyasint"`
}

// DecodePressure reads the payload of a record.
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

// pressure is what a host has told of the groups that it keeps.
type pressure struct {
	told     map[GroupID]statements
	sequence uint64
}

// statements are the waits that were told of a group, and when.
type statements struct {
	waits [mustardramp.RankCount]time.Duration
	at    time.Time
}

// Pressure returns the records of the groups where what other hosts expect has
// become wrong. It is called every PressureInterval by one goroutine.
func (p *Pool) Pressure() ([]mustardramp.Record, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var records []mustardramp.Record
	var group errs.Group
	now := p.clock.Now()
	p.desks.Range(func(key, value any) bool {
		id := key.(GroupID)
		said := Pressure{Service: p.terms.Service, Group: id}
		for _, r := range mustardramp.Ranks() {
			said.Waits[r] = value.(*desk).pool.Pressure(r)
		}
		if !p.pressure.wrong(id, said.Waits, now) {
			return true
		}
		p.pressure.sequence++
		record, err := said.record(p.config.Holder, p.pressure.sequence)
		if err != nil {
			group.Add(err)
			return true
		}
		records = append(records, record)
		return true
	})
	return records, group.Err()
}

// wrong notes the waits that are told, and reports whether hosts that heard the
// last ones expect something else by now.
func (s *pressure) wrong(id GroupID, waits [mustardramp.RankCount]time.Duration, now time.Time) bool {
	told := s.told[id]
	age := now.Sub(told.at)
	wrong := false
	for r := range waits {
		expected := max(0, told.waits[r]-age)
		if (waits[r] - expected).Abs() >= max(leastError, waits[r]/4) {
			wrong = true
		}
	}
	if !wrong {
		return false
	}
	if s.told == nil {
		s.told = map[GroupID]statements{}
	}
	s.told[id] = statements{waits: waits, at: now}
	return true
}

// Learn takes in a record of the kind RecordPressure of any service.
func (p *Pool) Learn(record mustardramp.Record) error {
	said, err := DecodePressure(record)
	if err != nil {
		return err
	}
	if said.Service != p.config.Pool.Terms.Service {
		return nil
	}
	for _, r := range mustardramp.Ranks() {
		p.note(said.Group, r, said.Waits[r])
	}
	return nil
}

// mostAsks returns how many asks of a rank may wait at a group's keeper.
func (p *Pool) mostAsks(g *group, rank mustardramp.Rank) int {
	longest := p.wait(rank)
	if longest > 0 && p.expected(g.id, rank, p.clock.Now().UnixNano()) > float64(longest) {
		return probes
	}
	return maxAsks
}

// wait returns the longest time that a rank waits.
func (p *Pool) wait(rank mustardramp.Rank) time.Duration {
	if t := p.ranks.Load(); t != nil {
		return t[rank].Wait
	}
	return 0
}

// pressed denies a demand at the host where it arrived.
func (p *Pool) pressed(g *group, peer *peer, demand *mustardramp.Demand, most int) *mustardramp.Denial {
	expected := time.Duration(p.expected(g.id, demand.Rank, p.clock.Now().UnixNano()))
	return &mustardramp.Denial{
		Kind: mustardramp.KindPressure,
		Reason: fmt.Sprintf("The service is overloaded for rank %s: %d requests of this host wait already, and the expected wait is %s.",
			demand.Rank, most, expected.Round(time.Millisecond)),
		Facts: []mustardramp.Fact{
			{Name: "rank", Value: demand.Rank.String()},
			fact("limit", most),
			{Name: "wait", Value: expected.Round(time.Millisecond).String()},
			{Name: "share", Value: strconv.FormatFloat(float64(p.share(demand.Rank)), 'f', -1, 64) + "%"},
			{Name: "keeper", Value: string(peer.name)},
		},
		RetryAfter: max(time.Second, expected/2),
	}
}

func (p *Pool) share(rank mustardramp.Rank) mustardramp.Percent {
	if t := p.ranks.Load(); t != nil {
		return t[rank].Share
	}
	return 0
}
