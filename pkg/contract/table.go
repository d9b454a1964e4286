package contract

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/mustardramp/mustardramp"
)

// TableName stands in for the service of a routing table where a contract has
// its service's name. No service has it: an asterisk is no part of a name.
const TableName mustardramp.ServiceName = "*"

// tableField is the field by which a file is known as a routing table.
const tableField = "table"

// Limits of a routing table.
const (
	// MaxTimeout bounds a route's timeout; longer ones are mistakes of the
	// unit.
	MaxTimeout = 10 * time.Minute
	// MaxTargetExcess is how far a route's target may lie above its timeout.
	MaxTargetExcess = time.Minute
	// MaxTableSize bounds the file of a routing table.
	MaxTableSize mustardramp.Bytes = 8 << 20
	// MaxTableRoutes bounds its routes: the 39,000 of docs/CAPACITY.md.
	MaxTableRoutes = 1 << 16
)

// TableVersion orders routing tables: the highest one that was accepted is in
// force.
type TableVersion uint64

// Kind says what may be repeated of a table route's requests.
type Kind string

// The kinds of a table route.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once for each sending.
	Unsafe Kind = "unsafe"
	// Upload requests are unsafe and have long bodies.
	Upload Kind = "upload"
)

// Span is a length of time that a file writes as text, such as "1500ms".
type Span time.Duration

// MarshalText encodes the span.
func (s Span) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
}

// UnmarshalText decodes a number with its unit.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}

// Table is a routing table as its file states it: routes that lead from a host
// and the longest prefix of the path to one service or several.
type Table struct {
	Version  TableVersion   `json:"table"`
	Routes   []TableRoute   `json:"routes"`
	Services []TableService `json:"services"`
	Limits   TableLimits    `json:"limits"`
}

// TableRoute is one route of a table.
type TableRoute struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix starts and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout is the longest time for which a caller is kept waiting; zero
	// stands for MaxTimeout.
	Timeout Span `json:"timeout,omitzero"`
	// Target is the time within which an answer has its full value.
	Target Span `json:"target,omitzero"`
	// Tries is the most backends that one request is sent to; zero stands for
	// the host's own limit.
	Tries int `json:"tries,omitzero"`
	// Priority is 0 for the most valuable work.
	Priority int `json:"priority"`
	// Service is set unless Split is.
	Service mustardramp.ServiceName `json:"service,omitempty"`
	Split   []Part                  `json:"split,omitempty"`
}

// Part is one service of a split route.
type Part struct {
	Service mustardramp.ServiceName `json:"service"`
	// Weight is the service's share of the sum of all weights.
	Weight float64 `json:"weight"`
}

// TableService is a service that routes of the table lead to.
type TableService struct {
	Name mustardramp.ServiceName `json:"name"`
	// Health is the path that its backends answer health checks at.
	Health string `json:"health,omitempty"`
	// Connections is the most that one backend accepts from the whole fleet;
	// zero stands for DefaultConns.
	Connections int    `json:"connections,omitzero"`
	Protocol    string `json:"protocol,omitempty"`
	TLS         bool   `json:"tls,omitempty"`
}

// TableLimits bound what callers may send.
type TableLimits struct {
	// Header and Body are in bytes.
	Header mustardramp.Bytes `json:"header,omitzero"`
	Body   mustardramp.Bytes `json:"body,omitzero"`
	// HeaderTime is the time in which a caller sends its headers, Idle the time
	// for which a connection without requests is kept.
	HeaderTime Span `json:"headertime,omitzero"`
	Idle       Span `json:"idle,omitzero"`
}

// Encode returns the table's file: JSON, which is YAML too, with each route on
// a line of its own, so that a refusal can name the line.
func (t *Table) Encode() ([]byte, error) {
	var out bytes.Buffer
	out.WriteString(`{"table":` + strconv.FormatUint(uint64(t.Version), 10) + ",\n\"routes\":[")
	for i := range t.Routes {
		if err := encodeLine(&out, i, &t.Routes[i]); err != nil {
			return nil, err
		}
	}
	out.WriteString("],\n\"services\":[")
	for i := range t.Services {
		if err := encodeLine(&out, i, &t.Services[i]); err != nil {
			return nil, err
		}
	}
	limits, err := json.Marshal(t.Limits)
	if err != nil {
		return nil, err
	}
	out.WriteString("],\n\"limits\":")
	out.Write(limits)
	out.WriteString("}\n")
	return out.Bytes(), nil
}

func encodeLine(out *bytes.Buffer, i int, value any) error {
	line, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if i > 0 {
		out.WriteByte(',')
	}
	out.WriteByte('\n')
	out.Write(line)
	return nil
}

// isTable reports whether a file is a routing table and no contract.
func isTable(source []byte) bool {
	text := bytes.TrimLeft(source, " \t\r\n")
	if after, ok := bytes.CutPrefix(text, []byte("{")); ok {
		return bytes.HasPrefix(bytes.TrimLeft(after, " \t\r\n"), []byte(`"`+tableField+`"`))
	}
	for line := range bytes.Lines(source) {
		if bytes.HasPrefix(line, []byte(tableField+":")) {
			return true
		}
	}
	return false
}

// ParseTable reads a routing table in YAML or JSON. The error is Faults.
func ParseTable(file string, source []byte) (*Table, error) {
	d := &document{file: file}
	if len(source) > int(MaxTableSize) {
		d.fault(position{}, "the routing table is larger than "+strconv.Itoa(int(MaxTableSize)>>20)+" MiB", "remove routes")
		return nil, d.faults
	}
	var t Table
	if err := decodeTable(source, &t); err != nil {
		d.fault(position{}, "not a routing table: "+err.Error(), "mend the file")
		return nil, d.faults
	}
	d.faults = append(d.faults, t.Check(file)...)
	if len(d.faults) > 0 {
		return nil, d.faults.sorted()
	}
	return &t, nil
}

func decodeTable(source []byte, t *Table) error {
	if !bytes.HasPrefix(bytes.TrimLeft(source, " \t\r\n"), []byte("{")) {
		converted, err := yaml.YAMLToJSON(source)
		if err != nil {
			return err
		}
		source = converted
	}
	decoder := json.NewDecoder(bytes.NewReader(source))
	decoder.DisallowUnknownFields()
	return decoder.Decode(t)
}

// firstRouteLine is the line of the first route in an encoded table.
const firstRouteLine = 3

// Check reports every fault in a table.
func (t *Table) Check(file string) Faults {
	d := &document{file: file}
	if t.Version == 0 {
		d.fault(position{}, "the table has no version", "give it a number above that of the table in force")
	}
	if len(t.Routes) > MaxTableRoutes {
		d.fault(position{}, "more than "+strconv.Itoa(MaxTableRoutes)+" routes", "remove routes")
		return d.faults
	}
	services := make(map[mustardramp.ServiceName]bool, len(t.Services))
	for i := range t.Services {
		s := &t.Services[i]
		switch {
		case s.Name == "" || s.Name == TableName:
			d.fault(position{}, "a service has no name", "name it")
		case services[s.Name]:
			d.fault(position{}, "service "+strconv.Quote(string(s.Name))+" stands twice", "keep one of them")
		case s.Connections < 0:
			d.fault(position{}, "service "+strconv.Quote(string(s.Name))+" has a negative number of connections", "use 1 or more")
		}
		services[s.Name] = true
	}
	type place struct{ host, prefix string }
	places := make(map[place]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		at := position{line: firstRouteLine + i}
		d.checkTableRoute(r, at, services)
		key := place{strings.ToLower(r.Host), r.Prefix}
		if other, ok := places[key]; ok {
			d.fault(at, "route "+strconv.Quote(r.Name)+" has the host and prefix of route "+strconv.Quote(other), "remove one of the two")
		}
		places[key] = r.Name
	}
	return d.faults
}

func (d *document) checkTableRoute(r *TableRoute, at position, services map[mustardramp.ServiceName]bool) {
	name := "route " + strconv.Quote(r.Name)
	switch {
	case r.Host == "":
		d.fault(at, name+" has no host", "name the Host header that leads to it")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		d.fault(at, name+" has prefix "+strconv.Quote(r.Prefix), "start and end it with a slash")
	case r.Kind != Safe && r.Kind != Unsafe && r.Kind != Upload:
		d.fault(at, name+" has kind "+strconv.Quote(string(r.Kind)), "use safe, unsafe or upload")
	case r.Timeout < 0 || time.Duration(r.Timeout) > MaxTimeout:
		d.fault(at, name+" has a timeout of "+time.Duration(r.Timeout).String(), "use at most "+MaxTimeout.String())
	case r.Target < 0 || r.Timeout > 0 && time.Duration(r.Target-r.Timeout) >= MaxTargetExcess:
		d.fault(at, name+" has a target of "+time.Duration(r.Target).String()+" beside a timeout of "+time.Duration(r.Timeout).String(),
			"keep it less than "+MaxTargetExcess.String()+" above the timeout")
	case r.Tries < 0 || r.Priority < 0:
		d.fault(at, name+" has a negative number of tries or priority", "use 0 or more")
	}
	if (r.Service == "") == (len(r.Split) == 0) {
		d.fault(at, name+" leads to no service, or has both a service and a split", "give it one of the two")
		return
	}
	sum := 0.0
	for _, p := range r.parts() {
		if !services[p.Service] {
			d.fault(at, name+" leads to service "+strconv.Quote(string(p.Service))+", which the table does not list", "list the service or change the route")
		}
		if !(p.Weight >= 0) {
			d.fault(at, name+" has a negative weight", "use 0 or more")
		}
		sum += p.Weight
	}
	if !(sum > 0) {
		d.fault(at, name+" has no weight above 0", "give at least one service a weight")
	}
}

// parts returns the services of a route with their weights.
func (r *TableRoute) parts() []Part {
	if r.Service != "" {
		return []Part{{Service: r.Service, Weight: 1}}
	}
	return r.Split
}
