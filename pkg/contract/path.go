package contract

import (
	"slices"
	"strconv"
	"strings"
)

// segmentKind classifies the segments of a pattern.
type segmentKind uint8

const (
	// literalSegment matches itself.
	literalSegment segmentKind = iota
	// paramSegment, such as {id}, matches any non-empty segment.
	paramSegment
	// restSegment, such as {rest...}, matches the rest of the path.
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

// readPath returns a pattern; an invalid pattern is a fault.
func (d *document) readPath(f field) string {
	p := d.readString(f)
	if p == "" {
		return p
	}
	if !strings.HasPrefix(p, "/") {
		d.addFault(f.at, "path "+strconv.Quote(p)+" does not start with /", "write it as /"+p)
		return p
	}
	segments := splitPath(p)
	for i, s := range segments {
		last := i == len(segments)-1
		if reason := segmentFault(s, last); reason != "" {
			d.addFault(f.at, "path "+strconv.Quote(p)+" has "+reason, "use /name, /{name} or, at the end, /{name...}")
			return p
		}
	}
	return p
}

// segmentFault describes what is wrong with a segment of a pattern. It returns an
// empty string for a valid segment.
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

// node is a segment in the tree of all routes of a service. Literal segments take
// precedence over parameters, and parameters over rest parameters.
type node struct {
	literals map[string]*node
	param    *node
	// exact holds the routes that end at this node, rest those that end in a rest
	// parameter below it.
	exact []*Route
	rest  []*Route
}

// compileRoutes returns the root of the tree of routes.
func compileRoutes(routes []Route) *node {
	root := &node{}
	for i := range routes {
		root.add(splitPath(routes[i].Path), &routes[i])
	}
	return root
}

func (n *node) add(segments []string, r *Route) {
	if len(segments) == 0 {
		n.exact = append(n.exact, r)
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

// find returns the most specific route for the remaining path, or nil. If
// hasSegments is false, no segment remains: the path ends at this node.
func (n *node) find(method, path string, hasSegments bool) *Route {
	if !hasSegments {
		return routeForMethod(n.exact, method)
	}
	head, tail, hasTail := strings.Cut(path, "/")
	if child, ok := n.literals[head]; ok {
		if r := child.find(method, tail, hasTail); r != nil {
			return r
		}
	}
	if n.param != nil && head != "" {
		if r := n.param.find(method, tail, hasTail); r != nil {
			return r
		}
	}
	return routeForMethod(n.rest, method)
}

// routeForMethod returns the first of the routes that has the method, or nil.
func routeForMethod(routes []*Route, method string) *Route {
	for _, r := range routes {
		if slices.Contains(r.Methods, method) {
			return r
		}
	}
	return nil
}

// Match returns the most specific route for a method and a clean path, or nil. A
// clean path starts with a slash and has no dot segments, no empty segments except
// the last, and no escaped slashes.
func (c *Contract) Match(method, path string) *Route {
	if c.tree == nil || !strings.HasPrefix(path, "/") {
		return nil
	}
	return c.tree.find(method, path[1:], true)
}
