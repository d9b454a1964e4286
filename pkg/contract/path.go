package contract

import (
	"slices"
	"strconv"
	"strings"
)

type segmentKind uint8

const (
	literalSegment segmentKind = iota
	paramSegment
	restSegment
)

func kindOf(segment string) segmentKind {
	if !strings.HasPrefix(segment, "{") {
		return literalSegment
	}
	if strings.HasSuffix(segment, "...}") {
		return restSegment
	}
	return paramSegment
}

// path checks a pattern.
func (d *document) path(f field) string {
	p := d.string(f)
	if p == "" {
		return p
	}
	if !strings.HasPrefix(p, "/") {
		d.fault(f.at, "path "+strconv.Quote(p)+" does not start with /", "write it as /"+p)
		return p
	}
	segments := split(p)
	for i, s := range segments {
		last := i == len(segments)-1
		if reason := segmentFault(s, last); reason != "" {
			d.fault(f.at, "path "+strconv.Quote(p)+" has "+reason, "use /name, /{name} or, at the end, /{name...}")
			return p
		}
	}
	return p
}

func segmentFault(s string, last bool) string {
	switch {
	case s == "" && !last:
		return "an empty segment"
	case s == "." || s == "..":
		return "a dot segment"
	case strings.ContainsAny(s, "%?#\\ "):
		return "a character that stands for itself only when escaped"
	}
	kind := kindOf(s)
	if kind == literalSegment {
		if strings.ContainsAny(s, "{}") {
			return "a brace inside a segment"
		}
		return ""
	}
	name := strings.TrimSuffix(strings.TrimSuffix(strings.TrimPrefix(s, "{"), "}"), "...")
	if name == "" || !strings.HasSuffix(s, "}") || strings.ContainsAny(name, "{}.") {
		return "a parameter without a plain name"
	}
	if kind == restSegment && !last {
		return "a rest parameter before its end"
	}
	return ""
}

// node is one segment in the tree of all routes of a service. Literals win
// over parameters, parameters over the rest.
type node struct {
	literals map[string]*node
	param    *node
	// here and rest hold the routes that end at this node.
	here []*Route
	rest []*Route
}

func compile(routes []Route) *node {
	root := &node{}
	for i := range routes {
		root.add(split(routes[i].Path), &routes[i])
	}
	return root
}

func (n *node) add(segments []string, r *Route) {
	if len(segments) == 0 {
		n.here = append(n.here, r)
		return
	}
	head, tail := segments[0], segments[1:]
	switch kindOf(head) {
	case restSegment:
		n.rest = append(n.rest, r)
	case paramSegment:
		if n.param == nil {
			n.param = &node{}
		}
		n.param.add(tail, r)
	default:
		if n.literals == nil {
			n.literals = map[string]*node{}
		}
		child, ok := n.literals[head]
		if !ok {
			child = &node{}
			n.literals[head] = child
		}
		child.add(tail, r)
	}
}

// find returns the most specific route for a path without its first slash.
func (n *node) find(method, path string, more bool) *Route {
	if !more {
		return pick(n.here, method)
	}
	head, tail, rest := strings.Cut(path, "/")
	if child, ok := n.literals[head]; ok {
		if r := child.find(method, tail, rest); r != nil {
			return r
		}
	}
	if n.param != nil && head != "" {
		if r := n.param.find(method, tail, rest); r != nil {
			return r
		}
	}
	return pick(n.rest, method)
}

func pick(routes []*Route, method string) *Route {
	for _, r := range routes {
		if slices.Contains(r.Methods, method) {
			return r
		}
	}
	return nil
}

// Match returns the most specific route for a method and a clean path, or nil.
// A path is clean when it starts with a slash and has no dot segments, no
// empty segments but the last, and no escaped slashes.
func (c *Contract) Match(method, path string) *Route {
	if c.tree == nil || !strings.HasPrefix(path, "/") {
		return nil
	}
	return c.tree.find(method, path[1:], true)
}
