package evidence

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
)

// ErrReport is the class of errors of a report that cannot be read.
var ErrReport = errs.Class("evidence report")

// Report is what one host passes on of its evidence. Its counts are totals
// since the host started, so that a lost report loses nothing.
type Report struct {
	Place    mustardramp.Place `cbor:"1,keyasint"`
	Services []ServiceReport   `cbor:"2,keyasint,omitempty"`
}

// ServiceReport is the part of a report on one service.
type ServiceReport struct {
	Service mustardramp.ServiceName `cbor:"1,keyasint"`
	// Rows holds the backends whose counts changed of late.
	Rows []Row `cbor:"2,keyasint,omitempty"`
	// Ejected lists the backends that the host ejects for the whole fleet.
	Ejected []Claim `cbor:"3,keyasint,omitempty"`
	// Wished lists the backends that the host is about to eject.
	Wished []Claim `cbor:"4,keyasint,omitempty"`
}

// Claim is a host's right to eject a backend, held or wished for.
type Claim struct {
	_       struct{} `cbor:",toarray"`
	Backend Handle
	// Grade says how ill the backend is; a higher grade goes first.
	Grade Grade
}

// Grade says how ill a backend is.
type Grade uint8

// The grades of illness.
const (
	// Partial is a backend at which part of the work ends badly.
	Partial Grade = iota
	// Total is a backend at which most work ends badly.
	Total
)

// Before reports whether claim c goes before another one. All hosts agree on
// this order.
func (c Claim) Before(other Claim) bool {
	if c.Grade != other.Grade {
		return c.Grade > other.Grade
	}
	return c.Backend < other.Backend
}

// Row is the counts of one backend.
type Row struct {
	_       struct{} `cbor:",toarray"`
	Backend Handle
	Counts  Counts
}

// Record returns the report in the form in which it travels.
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

// ParseReport reads the report of another host.
func ParseReport(record mustardramp.Record) (Report, error) {
	var r Report
	if record.Kind != mustardramp.RecordEvidence {
		return r, ErrReport.New("kind %d is not a report's", record.Kind)
	}
	if err := cbor.Unmarshal(record.Payload, &r); err != nil {
		return r, ErrReport.Wrap(err)
	}
	return r, nil
}
