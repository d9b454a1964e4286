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
	MaxSize           mustardramp.Bytes = 256 << 10
	MaxRoutes                           = 4096
	MaxSlots                            = 1 << 16
	MaxConnections                      = 1 << 20
	MaxDeadline                         = 24 * time.Hour
	MinKeep                             = time.Minute
	MaxKeep                             = 30 * 24 * time.Hour
	DefaultSlots                        = 6
	DefaultConns                        = 330
	DefaultFloor                        = 70
	DefaultCaution                      = 0.1
	DefaultBudget                       = 10
	DefaultKeep                         = 72 * time.Hour
	DefaultDeadline                     = 10 * time.Second
	DefaultNormal                       = 20
	DefaultBulk                         = 10
	defaultUrgentWait                   = 2 * time.Second
	defaultNormalWait                   = time.Second
	defaultBulkWait                     = 5 * time.Second
)

const (
	contractFields = "service, hosts, home, floor, slots, connections, caution, budget, hedge, shed, keep, ranks, routes"
	rankFields     = "share, wait"
	routeFields    = "path, methods, rank, retry, once, key, deadline, whole"
)

// Parse reads one file. The error is Faults with every fault found.
func Parse(file string, source []byte) (*Contract, error) {
	if isTable(source) {
		return parseTableContract(file, source)
	}
	d := &document{file: file}
	if len(source) > int(MaxSize) {
		d.fault(position{}, "the file is larger than 256 KiB", "split the service")
		return nil, d.faults
	}
	c := defaults()
	c.Source = source
	at := d.contract(c, d.root(source))
	if len(d.faults) == 0 {
		d.check(c, at)
	}
	if len(d.faults) > 0 {
		return nil, d.faults.sorted()
	}
	c.tree = compile(c.Routes)
	return c, nil
}

func defaults() *Contract {
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

// contract reads the top-level fields and returns where each stands.
func (d *document) contract(c *Contract, fields []field) map[string]position {
	at := make(map[string]position, len(fields))
	for _, f := range fields {
		at[f.name] = f.at
		c.lines[f.name] = f.at.line
		d.contractField(c, f)
	}
	if fields == nil {
		return at
	}
	if _, ok := at["service"]; !ok {
		d.fault(position{}, "no service", "name the service in the field service")
	}
	if _, ok := at["routes"]; !ok {
		d.fault(position{}, "no routes", "list at least one route in the field routes")
	}
	return at
}

func (d *document) contractField(c *Contract, f field) {
	switch f.name {
	case "service":
		c.Service = mustardramp.ServiceName(d.name(f))
	case "hosts":
		c.Hosts = d.hosts(f)
	case "home":
		c.Home = mustardramp.Region(d.name(f))
	case "floor":
		c.Floor = mustardramp.Percent(d.float(f, 0, 100))
	case "slots":
		c.Slots = mustardramp.Slots(d.int(f, 1, MaxSlots))
	case "connections":
		c.Connections = d.int(f, 1, MaxConnections)
	case "caution":
		c.Caution = d.float(f, 1e-6, 100)
	case "budget":
		c.Budget = mustardramp.Percent(d.float(f, 0, 100))
	case "hedge":
		c.Hedge = d.bool(f)
	case "shed":
		c.Shed = d.header(f)
	case "keep":
		c.Keep = d.duration(f, MinKeep, MaxKeep)
	case "ranks":
		d.ranks(c, f)
	case "routes":
		d.routes(c, f)
	default:
		d.unknown(f, contractFields)
	}
}

func (d *document) hosts(f field) []string {
	hosts := d.strings(f)
	for i, h := range hosts {
		hosts[i] = strings.ToLower(h)
	}
	return hosts
}

func (d *document) ranks(c *Contract, f field) {
	for _, r := range d.mapping(f.value, "ranks") {
		rank, err := mustardramp.ParseRank(r.name)
		if err != nil {
			d.fault(r.at, "unknown rank "+strconv.Quote(r.name), "use urgent, normal or bulk")
			continue
		}
		c.Ranks[rank].Line = r.at.line
		d.rankTerms(&c.Ranks[rank], r)
	}
}

func (d *document) rankTerms(terms *RankTerms, f field) {
	for _, t := range d.mapping(f.value, "rank "+f.name) {
		switch t.name {
		case "share":
			terms.Share = mustardramp.Percent(d.float(t, 0, 100))
		case "wait":
			terms.Wait = d.duration(t, 0, MaxDeadline)
		default:
			d.unknown(t, rankFields)
		}
	}
}

func (d *document) routes(c *Contract, f field) {
	nodes := d.list(f)
	if len(nodes) == 0 && f.value != nil {
		d.fault(f.at, "no routes", "list at least one route")
	}
	if len(nodes) > MaxRoutes {
		d.fault(f.at, "more than "+strconv.Itoa(MaxRoutes)+" routes", "split the service")
		return
	}
	for _, n := range nodes {
		c.Routes = append(c.Routes, d.route(n))
	}
}

func (d *document) route(node ast.Node) Route {
	r := Route{
		Rank:     mustardramp.Normal,
		Deadline: DefaultDeadline,
		Line:     positionOf(node).line,
	}
	fields := d.mapping(node, "the route")
	for _, f := range fields {
		if f.name == "path" {
			r.Line = f.at.line
		}
		d.routeField(&r, f)
	}
	if r.Path == "" && fields != nil {
		d.fault(positionOf(node), "the route has no path", "add path: /…")
	}
	if len(r.Methods) == 0 && fields != nil {
		d.fault(positionOf(node), "the route has no methods", "add methods: [GET]")
	}
	return r
}

func (d *document) routeField(r *Route, f field) {
	switch f.name {
	case "path":
		r.Path = d.path(f)
	case "methods":
		r.Methods = d.methods(f)
	case "rank":
		rank, err := mustardramp.ParseRank(d.string(f))
		if err != nil {
			d.fault(f.at, "unknown rank "+strconv.Quote(text(f.value)), "use urgent, normal or bulk")
		}
		r.Rank = rank
	case "retry":
		r.Retry = d.bool(f)
	case "once":
		r.Once = d.bool(f)
	case "key":
		r.Key = d.header(f)
	case "deadline":
		r.Deadline = d.duration(f, time.Millisecond, MaxDeadline)
	case "whole":
		r.Whole = d.bool(f)
	default:
		d.unknown(f, routeFields)
	}
}

func (d *document) methods(f field) []string {
	methods := d.strings(f)
	for _, m := range methods {
		if m != strings.ToUpper(m) || !isToken(m) {
			d.fault(f.at, "method "+strconv.Quote(m)+" is not one of HTTP", "write it in capitals, such as GET")
		}
		if m == "CONNECT" {
			d.fault(f.at, "method CONNECT cannot be served", "remove it")
		}
	}
	return methods
}

func (d *document) name(f field) string {
	s := d.string(f)
	for _, r := range s {
		if !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-') {
			d.fault(f.at, f.name+" "+strconv.Quote(s)+" is not a plain name", "use a-z, 0-9 and dashes")
			return s
		}
	}
	return s
}

func (d *document) header(f field) string {
	s := d.string(f)
	if s != "" && !isToken(s) {
		d.fault(f.at, f.name+" "+strconv.Quote(s)+" is not a header name", "use letters, digits and dashes")
	}
	return s
}

const tokenMarks = "!#$%&'*+-.^_`|~"

// isToken reports whether s is a token of RFC 9110, section 5.6.2.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && strings.IndexByte(tokenMarks, c) < 0 {
			return false
		}
	}
	return s != ""
}

func syntaxPosition(err error) position {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.GetToken() != nil {
		p := syntax.GetToken().Position
		return position{line: p.Line, column: p.Column}
	}
	return position{}
}
