package contract

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
)

// TableName is the Service of a contract that is a routing table. It is not the
// name of any service, because names contain no asterisk.
const TableName mustardramp.ServiceName = "*"

// tableField is the top-level field that distinguishes a routing table from a
// contract.
const tableField = "table"

// Limits of a routing table.
const (
	// MaxTimeout is the maximum timeout of a route. A longer one is probably a
	// mistake in its unit.
	MaxTimeout = 10 * time.Minute
	// MaxTargetExcess limits the target of a route: it must exceed the timeout by
	// less than this.
	MaxTargetExcess = time.Minute
	// MaxTableSize is the maximum size of the file, in bytes.
	MaxTableSize mustardramp.Bytes = 8 << 20
	// MaxTableRoutes is the maximum number of routes. It leaves room above the
	// 39,000 routes of docs/CAPACITY.md.
	MaxTableRoutes = 1 << 16
	// MaxTableWorkspaces is the maximum number of workspaces. It leaves room above
	// the 140,000 workspaces of docs/CAPACITY.md.
	MaxTableWorkspaces = 1 << 18
	// MaxWorkspaceName is the maximum length of a workspace's name in bytes, because
	// every request and log line of the workspace holds it.
	MaxWorkspaceName = 256
)

// TableVersion is the version of a routing table. The accepted table with the
// highest version is in force.
type TableVersion uint64

// Kind states whether the requests of a table route may be repeated.
type Kind string

// The kinds of a table route.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once each time that a caller sends them.
	Unsafe Kind = "unsafe"
	// Upload requests are unsafe requests with long bodies.
	Upload Kind = "upload"
)

// Span is a duration that is encoded as text with its unit, such as "1500ms".
type Span time.Duration

// MarshalText encodes the duration with its unit. It implements
// encoding.TextMarshaler.
func (s Span) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
}

// UnmarshalText decodes the format of time.ParseDuration. It implements
// encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}

// Table is a routing table. Its routes lead from a host and the longest matching
// prefix of a path to one or more services.
type Table struct {
	// Version is at least 1.
	Version  TableVersion   `json:"table"`
	Routes   []TableRoute   `json:"routes"`
	Services []TableService `json:"services"`
	// Workspaces lists the workspaces. If there are any, requests for routes that are
	// not anonymous must carry the key of one.
	Workspaces []TableWorkspace `json:"workspaces"`
	Limits     TableLimits      `json:"limits"`
}

// TableRoute is a route of a routing table.
type TableRoute struct {
	Name string `json:"name"`
	// Host is the Host header, in any case.
	Host string `json:"host"`
	// Prefix is the prefix of the path. It starts and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout is the maximum time that a caller waits for the answer; zero stands
	// for MaxTimeout.
	Timeout Span `json:"timeout,omitzero"`
	// Target is the time within which an answer has its full value, or zero if
	// there is none.
	Target Span `json:"target,omitzero"`
	// Tries is the maximum number of backends that a request is sent to; zero
	// stands for the default of the host.
	Tries int `json:"tries,omitzero"`
	// Priority is 0 or more; a lower value marks more valuable requests.
	Priority int `json:"priority"`
	// Anonymous allows requests without a key; nil stands for false. It is a pointer,
	// so that a table is read back as it was written.
	Anonymous *bool `json:"anonymous,omitzero"`
	// Service is the only service of the route. Either Service or Split is set.
	Service mustardramp.ServiceName `json:"service,omitempty"`
	// Split lists the services that share the requests.
	Split []Part `json:"split,omitempty"`
}

// Part is a service of a route, with its share of the requests.
type Part struct {
	Service mustardramp.ServiceName `json:"service"`
	// Weight is 0 or more. The share of the service is its weight divided by the
	// sum of all weights.
	Weight float64 `json:"weight"`
}

// TableService is a service that routes of a routing table lead to.
type TableService struct {
	Name mustardramp.ServiceName `json:"name"`
	// Health is the path of the health checks of its backends.
	Health string `json:"health,omitempty"`
	// Connections is the maximum number of connections that a backend accepts
	// from the whole fleet; zero stands for DefaultConns.
	Connections int    `json:"connections,omitzero"`
	Protocol    string `json:"protocol,omitempty"`
	TLS         bool   `json:"tls,omitempty"`
}

// TableWorkspace is a workspace of a routing table. Fields that are pointers may be
// left out, and are read back as they were written.
type TableWorkspace struct {
	// Name is unique in the table. It is passed on in a header.
	Name mustardramp.WorkspaceName `json:"name"`
	// Keys identify the requests of the workspace. No other workspace has them.
	Keys []string `json:"keys,omitzero"`
	// Rate is the number of requests a second over all hosts; nil and 0 set no limit.
	Rate *float64 `json:"rate,omitzero"`
	// Burst is the number of requests beyond Rate that may come at once; nil stands
	// for 0.
	Burst *int `json:"burst,omitzero"`
	// Priority takes precedence over that of the route. It is nil if the workspace
	// has none.
	Priority *int `json:"priority,omitzero"`
}

// TableLimits limits what callers may send.
type TableLimits struct {
	// Header and Body are the maximum sizes of the headers and of the body of a
	// request, in bytes.
	Header mustardramp.Bytes `json:"header,omitzero"`
	Body   mustardramp.Bytes `json:"body,omitzero"`
	// HeaderTime is the maximum time in which a caller sends its headers.
	HeaderTime Span `json:"headertime,omitzero"`
	// Idle is the time for which a connection without requests is kept open.
	Idle Span `json:"idle,omitzero"`
}

// Encode returns the file of the table. It is JSON, which is also YAML, with each
// route and each workspace on a line of its own, so that refusals and faults can
// refer to the line.
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
	if len(t.Workspaces) > 0 {
		// Tables without workspaces keep the text that earlier versions wrote.
		out.WriteString("],\n\"workspaces\":[")
		for i := range t.Workspaces {
			if err := encodeLine(&out, i, &t.Workspaces[i]); err != nil {
				return nil, err
			}
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

// encodeLine writes the element i of a JSON array on a line of its own.
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

// isTable reports whether a file is a routing table rather than a contract.
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

// ParseTable parses and checks a routing table in YAML or JSON. The file name is
// used in faults only. The error has type Faults.
func ParseTable(file string, source []byte) (*Table, error) {
	d := &document{file: file}
	if len(source) > int(MaxTableSize) {
		d.addFault(position{}, "the routing table is larger than "+strconv.Itoa(int(MaxTableSize)>>20)+" MiB", "remove routes")
		return nil, d.faults
	}
	var t Table
	if err := decodeTable(source, &t); err != nil {
		d.addFault(position{}, "not a routing table: "+err.Error(), "mend the file")
		return nil, d.faults
	}
	d.faults = append(d.faults, t.Check(file)...)
	if len(d.faults) > 0 {
		return nil, d.faults.sorted()
	}
	return &t, nil
}

// decodeTable decodes YAML or JSON. An unknown field is an error.
func decodeTable(source []byte, t *Table) error {
	if !bytes.HasPrefix(bytes.TrimLeft(source, " \t\r\n"), []byte("{")) {
		if _, tooDeep := tokenize(source); tooDeep != nil {
			return tooDeep
		}
		converted, err := yaml.YAMLToJSON(source)
		if err != nil {
			// The text of the error would quote lines of the file, which holds keys.
			return errs.New("%s", yaml.FormatError(err, false, false))
		}
		source = converted
	}
	decoder := json.NewDecoder(bytes.NewReader(source))
	decoder.DisallowUnknownFields()
	return decoder.Decode(t)
}

// firstRouteLine is the line of the first route in the output of Table.Encode.
const firstRouteLine = 3

// Check reports all faults of the table. The file name is used in faults only;
// their lines are those of the encoded table. The result is empty if there are no
// faults.
func (t *Table) Check(file string) Faults {
	d := &document{file: file}
	if t.Version == 0 {
		d.addFault(position{}, "the table has no version", "give it a number above that of the table in force")
	}
	if len(t.Routes) > MaxTableRoutes {
		d.addFault(position{}, "more than "+strconv.Itoa(MaxTableRoutes)+" routes", "remove routes")
		return d.faults
	}
	services := make(map[mustardramp.ServiceName]bool, len(t.Services))
	for i := range t.Services {
		s := &t.Services[i]
		switch {
		case s.Name == "" || s.Name == TableName:
			d.addFault(position{}, "a service has no name", "name it")
		case services[s.Name]:
			d.addFault(position{}, "service "+strconv.Quote(string(s.Name))+" stands twice", "keep one of them")
		case s.Connections < 0:
			d.addFault(position{}, "service "+strconv.Quote(string(s.Name))+" has a negative number of connections", "use 1 or more")
		}
		services[s.Name] = true
	}
	type hostPrefix struct{ host, prefix string }
	routeNames := make(map[hostPrefix]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		at := position{line: firstRouteLine + i}
		d.checkTableRoute(r, at, services)
		key := hostPrefix{strings.ToLower(r.Host), r.Prefix}
		if other, ok := routeNames[key]; ok {
			d.addFault(at, "route "+strconv.Quote(r.Name)+" has the host and prefix of route "+strconv.Quote(other), "remove one of the two")
		}
		routeNames[key] = r.Name
	}
	d.checkWorkspaces(t)
	return d.faults
}

// checkTableRoute reports the faults of a single route.
func (d *document) checkTableRoute(r *TableRoute, at position, services map[mustardramp.ServiceName]bool) {
	name := "route " + strconv.Quote(r.Name)
	switch {
	case r.Host == "":
		d.addFault(at, name+" has no host", "name the Host header that leads to it")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		d.addFault(at, name+" has prefix "+strconv.Quote(r.Prefix), "start and end it with a slash")
	case r.Kind != Safe && r.Kind != Unsafe && r.Kind != Upload:
		d.addFault(at, name+" has kind "+strconv.Quote(string(r.Kind)), "use safe, unsafe or upload")
	case r.Timeout < 0 || time.Duration(r.Timeout) > MaxTimeout:
		d.addFault(at, name+" has a timeout of "+time.Duration(r.Timeout).String(), "use at most "+MaxTimeout.String())
	case r.Target < 0 || r.Timeout > 0 && time.Duration(r.Target-r.Timeout) >= MaxTargetExcess:
		d.addFault(at, name+" has a target of "+time.Duration(r.Target).String()+" beside a timeout of "+time.Duration(r.Timeout).String(),
			"keep it less than "+MaxTargetExcess.String()+" above the timeout")
	case r.Tries < 0 || r.Priority < 0:
		d.addFault(at, name+" has a negative number of tries or priority", "use 0 or more")
	}
	if (r.Service == "") == (len(r.Split) == 0) {
		d.addFault(at, name+" leads to no service, or has both a service and a split", "give it one of the two")
		return
	}
	sum := 0.0
	for _, p := range r.parts() {
		if !services[p.Service] {
			d.addFault(at, name+" leads to service "+strconv.Quote(string(p.Service))+", which the table does not list", "list the service or change the route")
		}
		if !(p.Weight >= 0) {
			d.addFault(at, name+" has a negative weight", "use 0 or more")
		}
		sum += p.Weight
	}
	if !(sum > 0) {
		d.addFault(at, name+" has no weight above 0", "give at least one service a weight")
	}
}

// parts returns the services of a route with their weights.
func (r *TableRoute) parts() []Part {
	if r.Service != "" {
		return []Part{{Service: r.Service, Weight: 1}}
	}
	return r.Split
}
