package contract

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"github.com/mustardramp/mustardramp"
)

// Limits and defaults of a contract.
const (
	// MaxSize is the maximum size of a contract file, in bytes.
	MaxSize mustardramp.Bytes = 256 << 10
	// MaxRoutes is the maximum number of routes.
	MaxRoutes = 4096
	// MaxSlots is the maximum number of slots of a backend.
	MaxSlots = 1 << 16
	// MaxConnections is the maximum number of connections of a backend.
	MaxConnections = 1 << 20
	// MaxDeadline is the maximum deadline of a route and the maximum time in the
	// queue.
	MaxDeadline = 24 * time.Hour
	// MinKeep is the minimum retention of operations with a key.
	MinKeep = time.Minute
	// MaxKeep is the maximum retention of operations with a key.
	MaxKeep = 30 * 24 * time.Hour
	// DefaultSlots is the default number of slots of a backend.
	DefaultSlots = 6
	// DefaultConns is the default number of connections of a backend.
	DefaultConns = 330
	// DefaultFloor is the default floor, in percent of the serving slots.
	DefaultFloor = 70
	// DefaultCaution is the default number of accepted false ejections per
	// backend and day.
	DefaultCaution = 0.1
	// DefaultBudget is the default retry budget, in percent of the first
	// attempts.
	DefaultBudget = 10
	// DefaultKeep is the default retention of operations with a key.
	DefaultKeep = 72 * time.Hour
	// DefaultDeadline is the default deadline of a route.
	DefaultDeadline = 10 * time.Second
	// DefaultNormal is the default share of rank Normal, in percent of the slots.
	DefaultNormal = 20
	// DefaultBulk is the default share of rank Bulk, in percent of the slots.
	DefaultBulk = 10

	defaultUrgentWait = 2 * time.Second
	defaultNormalWait = time.Second
	defaultBulkWait   = 5 * time.Second
)

// The known fields, for the remedies of faults.
const (
	contractFields = "service, hosts, home, floor, slots, connections, caution, budget, hedge, shed, leaving, quiet, keep, ranks, routes"
	rankFields     = "share, wait"
	routeFields    = "path, methods, rank, retry, once, key, deadline, whole"
)

// Parse parses, checks and compiles a contract file or a routing table. The file
// name is used in faults only. The error has type Faults and holds every fault of
// the file.
func Parse(file string, source []byte) (*Contract, error) {
	if isTable(source) {
		return parseTableContract(file, source)
	}
	d := &document{file: file}
	if len(source) > int(MaxSize) {
		d.addFault(position{}, "the file is larger than 256 KiB", "split the service")
		return nil, d.faults
	}
	c := defaultContract()
	c.Source = source
	at := d.readContract(c, d.parseRoot(source))
	if len(d.faults) == 0 {
		d.checkContract(c, at)
	}
	if len(d.faults) > 0 {
		return nil, d.faults.sorted()
	}
	c.tree = compileRoutes(c.Routes)
	return c, nil
}

// defaultContract returns a contract with the defaults of all settings.
func defaultContract() *Contract {
	c := &Contract{
		Floor:       DefaultFloor,
		Slots:       DefaultSlots,
		Connections: DefaultConns,
		Caution:     DefaultCaution,
		Budget:      DefaultBudget,
		Keep:        DefaultKeep,
		lines:       map[string]int{},
	}
	c.Ranks[mustardramp.Urgent] = RankTerms{Wait: defaultUrgentWait}
	c.Ranks[mustardramp.Normal] = RankTerms{Share: DefaultNormal, Wait: defaultNormalWait}
	c.Ranks[mustardramp.Bulk] = RankTerms{Share: DefaultBulk, Wait: defaultBulkWait}
	return c
}

// readContract reads the top-level fields into c and returns their positions.
func (d *document) readContract(c *Contract, fields []field) map[string]position {
	at := make(map[string]position, len(fields))
	for _, f := range fields {
		at[f.name] = f.at
		c.lines[f.name] = f.at.line
		d.readContractField(c, f)
	}
	if fields == nil {
		return at
	}
	if _, ok := at["service"]; !ok {
		d.addFault(position{}, "no service", "name the service in the field service")
	}
	if _, ok := at["routes"]; !ok {
		d.addFault(position{}, "no routes", "list at least one route in the field routes")
	}
	return at
}

func (d *document) readContractField(c *Contract, f field) {
	switch f.name {
	case "service":
		c.Service = mustardramp.ServiceName(d.readName(f))
	case "hosts":
		c.Hosts = d.readHosts(f)
	case "home":
		c.Home = mustardramp.Region(d.readName(f))
	case "floor":
		c.Floor = mustardramp.Percent(d.readFloat(f, 0, 100))
	case "slots":
		c.Slots = mustardramp.Slots(d.readInt(f, 1, MaxSlots))
	case "connections":
		c.Connections = d.readInt(f, 1, MaxConnections)
	case "caution":
		c.Caution = d.readFloat(f, 1e-6, 100)
	case "budget":
		c.Budget = mustardramp.Percent(d.readFloat(f, 0, 100))
	case "hedge":
		c.Hedge = d.readBool(f)
	case "shed":
		c.Shed = d.readHeader(f)
	case "leaving":
		c.Leaving = d.readHeader(f)
	case "quiet":
		c.Quiet = d.readHeader(f)
	case "keep":
		c.Keep = d.readDuration(f, MinKeep, MaxKeep)
	case "ranks":
		d.readRanks(c, f)
	case "routes":
		d.readRoutes(c, f)
	default:
		d.addUnknownField(f, contractFields)
	}
}

func (d *document) readHosts(f field) []string {
	hosts := d.readStrings(f)
	for i, h := range hosts {
		hosts[i] = strings.ToLower(h)
	}
	return hosts
}

func (d *document) readRanks(c *Contract, f field) {
	for _, r := range d.readMapping(f.value, "ranks") {
		rank, err := mustardramp.ParseRank(r.name)
		if err != nil {
			d.addFault(r.at, "unknown rank "+strconv.Quote(r.name), "use urgent, normal or bulk")
			continue
		}
		c.Ranks[rank].Line = r.at.line
		d.readRankTerms(&c.Ranks[rank], r)
	}
}

func (d *document) readRankTerms(terms *RankTerms, f field) {
	for _, t := range d.readMapping(f.value, "rank "+f.name) {
		switch t.name {
		case "share":
			terms.Share = mustardramp.Percent(d.readFloat(t, 0, 100))
		case "wait":
			terms.Wait = d.readDuration(t, 0, MaxDeadline)
		default:
			d.addUnknownField(t, rankFields)
		}
	}
}

func (d *document) readRoutes(c *Contract, f field) {
	nodes := d.readList(f)
	if len(nodes) == 0 && f.value != nil {
		d.addFault(f.at, "no routes", "list at least one route")
	}
	if len(nodes) > MaxRoutes {
		d.addFault(f.at, "more than "+strconv.Itoa(MaxRoutes)+" routes", "split the service")
		return
	}
	for _, n := range nodes {
		c.Routes = append(c.Routes, d.readRoute(n))
	}
}

func (d *document) readRoute(node ast.Node) Route {
	r := Route{
		Rank:     mustardramp.Normal,
		Deadline: DefaultDeadline,
		Line:     positionOf(node).line,
	}
	fields := d.readMapping(node, "the route")
	for _, f := range fields {
		if f.name == "path" {
			r.Line = f.at.line
		}
		d.readRouteField(&r, f)
	}
	if r.Path == "" && fields != nil {
		d.addFault(positionOf(node), "the route has no path", "add path: /…")
	}
	if len(r.Methods) == 0 && fields != nil {
		d.addFault(positionOf(node), "the route has no methods", "add methods: [GET]")
	}
	return r
}

func (d *document) readRouteField(r *Route, f field) {
	switch f.name {
	case "path":
		r.Path = d.readPath(f)
	case "methods":
		r.Methods = d.readMethods(f)
	case "rank":
		rank, err := mustardramp.ParseRank(d.readString(f))
		if err != nil {
			d.addFault(f.at, "unknown rank "+strconv.Quote(scalarText(f.value)), "use urgent, normal or bulk")
		}
		r.Rank = rank
	case "retry":
		r.Retry = d.readBool(f)
	case "once":
		r.Once = d.readBool(f)
	case "key":
		r.Key = d.readHeader(f)
	case "deadline":
		r.Deadline = d.readDuration(f, time.Millisecond, MaxDeadline)
	case "whole":
		r.RequireComplete = d.readBool(f)
	default:
		d.addUnknownField(f, routeFields)
	}
}

func (d *document) readMethods(f field) []string {
	methods := d.readStrings(f)
	for _, m := range methods {
		if m != strings.ToUpper(m) || !isToken(m) {
			d.addFault(f.at, "method "+strconv.Quote(m)+" is not one of HTTP", "write it in capitals, such as GET")
		}
		if m == "CONNECT" {
			d.addFault(f.at, "method CONNECT cannot be served", "remove it")
		}
	}
	return methods
}

// readName returns the name of a service or a region; one with other characters
// than a-z, 0-9 and dashes is a fault.
func (d *document) readName(f field) string {
	s := d.readString(f)
	for _, r := range s {
		if !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-') {
			d.addFault(f.at, f.name+" "+strconv.Quote(s)+" is not a plain name", "use a-z, 0-9 and dashes")
			return s
		}
	}
	return s
}

// readHeader returns the name of a header; one that is not a token is a fault.
func (d *document) readHeader(f field) string {
	s := d.readString(f)
	if s != "" && !isToken(s) {
		d.addFault(f.at, f.name+" "+strconv.Quote(s)+" is not a header name", "use letters, digits and dashes")
	}
	return s
}

// tokenSymbols lists the characters of a token besides letters and digits.
const tokenSymbols = "!#$%&'*+-.^_`|~"

// isToken reports whether s is a token as defined by RFC 9110, section 5.6.2.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && strings.IndexByte(tokenSymbols, c) < 0 {
			return false
		}
	}
	return s != ""
}

// syntaxPosition returns the position of a YAML syntax error, if it is known.
func syntaxPosition(err error) position {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.GetToken() != nil {
		p := syntax.GetToken().Position
		return position{line: p.Line, column: p.Column}
	}
	return position{}
}
