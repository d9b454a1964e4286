package evidence

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
)

// ErrReport is the class of errors of a report that cannot be encoded or decoded.
var ErrReport = errs.Class("evidence report")

// Report holds one host's counts and claims. The counts are totals since the host
// started, so that a lost report loses no outcome.
type Report struct {
	Place    mustardramp.Place `cbor:"1,keyasint"`
	Services []ServiceReport   `cbor:"2,keyasint,omitempty"`
}

// ServiceReport is the part of a report on one service.
type ServiceReport struct {
	Service mustardramp.ServiceName `cbor:"1,keyasint"`
	// Rows holds the backends whose counts changed recently.
	Rows []Row `cbor:"2,keyasint,omitempty"`
	// Ejected lists the backends that the host ejects for the whole fleet.
	Ejected []Claim `cbor:"3,keyasint,omitempty"`
	// Proposed lists the backends that the host is about to eject.
	Proposed []Claim `cbor:"4,keyasint,omitempty"`
}

// Claim is a host's ejection of a backend, or its proposal to eject it.
type Claim struct {
	_       struct{} `cbor:",toarray"`
	Backend Handle
	// Severity orders the claims: a higher one precedes.
	Severity Severity
}

// Severity is the degree to which a backend is unhealthy.
type Severity uint8

// The severities, lowest first.
const (
	// SeverityPartial is a backend with a part of its outcomes bad.
	SeverityPartial Severity = iota
	// SeverityTotal is a backend with most of its outcomes bad.
	SeverityTotal
)

// Before reports whether claim c precedes another one. All hosts use this order.
func (c Claim) Before(other Claim) bool {
	if c.Severity != other.Severity {
		return c.Severity > other.Severity
	}
	return c.Backend < other.Backend
}

// Row holds the counts of one backend.
type Row struct {
	_       struct{} `cbor:",toarray"`
	Backend Handle
	Counts  Counts
}

// Record encodes the report as a record that hosts exchange.
func (r Report) Record(host mustardramp.HostName, version mustardramp.Version) (mustardramp.Record, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return mustardramp.Record{}, ErrReport.Wrap(err)
	}
	return mustardramp.Record{
		Kind:    mustardramp.RecordEvidence,
		Key:     string(host),
		Version: version,
		Payload: payload,
	}, nil
}

// ParseReport decodes the report of another host.
func ParseReport(record mustardramp.Record) (Report, error) {
	var r Report
	if record.Kind != mustardramp.RecordEvidence {
		return r, ErrReport.New("unexpected record kind %d", record.Kind)
	}
	if err := cbor.Unmarshal(record.Payload, &r); err != nil {
		return r, ErrReport.Wrap(err)
	}
	return r, nil
}
