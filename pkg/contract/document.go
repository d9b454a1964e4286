package contract

import (
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// position is a place in a file, counted from 1.
type position struct {
	line   int
	column int
}

// field is one key of a mapping with its value.
type field struct {
	name  string
	at    position
	value ast.Node
}

// document collects the faults of one file while it is read.
type document struct {
	file   string
	faults Faults
}

func (d *document) fault(at position, reason, remedy string) {
	d.faults = append(d.faults, Fault{
		File:   d.file,
		Line:   max(at.line, 1),
		Column: max(at.column, 1),
		Reason: reason,
		Remedy: remedy,
	})
}

// root parses the file and returns its one mapping.
func (d *document) root(source []byte) []field {
	file, err := parser.ParseBytes(source, 0)
	if err != nil {
		d.fault(syntaxPosition(err), "not valid YAML", "mend the syntax near this place")
		return nil
	}
	var body ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		if body != nil {
			d.fault(positionOf(doc.Body), "more than one document", "keep one service in a file")
			return nil
		}
		body = doc.Body
	}
	if body == nil {
		d.fault(position{}, "the file is empty", "write at least service and routes")
		return nil
	}
	return d.mapping(body, "the file")
}

// mapping returns the fields of a mapping node; a repeated key is a fault.
func (d *document) mapping(node ast.Node, what string) []field {
	var values []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		d.fault(positionOf(node), what+" is not a mapping", "write name: value pairs")
		return nil
	}
	fields := make([]field, 0, len(values))
	seen := make(map[string]bool, len(values))
	for _, v := range values {
		name := text(v.Key)
		at := positionOf(v.Key)
		if seen[name] {
			d.fault(at, "field "+strconv.Quote(name)+" stands twice", "keep one of them")
			continue
		}
		seen[name] = true
		fields = append(fields, field{name: name, at: at, value: v.Value})
	}
	return fields
}

func (d *document) list(f field) []ast.Node {
	seq, ok := f.value.(*ast.SequenceNode)
	if !ok {
		d.fault(f.at, f.name+" is not a list", "write it as [a, b] or with dashes")
		return nil
	}
	return seq.Values
}

func (d *document) strings(f field) []string {
	nodes := d.list(f)
	out := make([]string, 0, len(nodes))
	for _, n := range nodes {
		s := text(n)
		if s == "" {
			d.fault(positionOf(n), f.name+" holds an empty name", "remove it or give it a name")
			continue
		}
		out = append(out, s)
	}
	return out
}

func (d *document) string(f field) string {
	if !isScalar(f.value) {
		d.fault(f.at, f.name+" is not a word", "write one value")
		return ""
	}
	s := text(f.value)
	if s == "" {
		d.fault(f.at, f.name+" is empty", "give it a value or remove the field")
	}
	return s
}

func (d *document) bool(f field) bool {
	b, err := strconv.ParseBool(text(f.value))
	if err != nil {
		d.fault(f.at, f.name+" is neither true nor false", "write true or false")
	}
	return b
}

func (d *document) int(f field, low, high int) int {
	n, err := strconv.Atoi(text(f.value))
	if err != nil {
		d.fault(f.at, f.name+" is not a whole number", "write a number such as "+strconv.Itoa(low))
		return low
	}
	if n < low || n > high {
		d.fault(f.at, f.name+" is "+strconv.Itoa(n), "use a number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
	return n
}

func (d *document) float(f field, low, high float64) float64 {
	n, err := strconv.ParseFloat(strings.TrimSuffix(text(f.value), "%"), 64)
	if err != nil {
		d.fault(f.at, f.name+" is not a number", "write a number such as "+formatFloat(high))
		return low
	}
	if !(n >= low && n <= high) {
		d.fault(f.at, f.name+" is "+formatFloat(n), "use a number from "+formatFloat(low)+" to "+formatFloat(high))
	}
	return n
}

func (d *document) duration(f field, low, high time.Duration) time.Duration {
	t, err := time.ParseDuration(text(f.value))
	if err != nil {
		d.fault(f.at, f.name+" is not a duration", "write a number with a unit, such as 500ms, 10s or 72h")
		return low
	}
	if t < low || t > high {
		d.fault(f.at, f.name+" is "+t.String(), "use a duration from "+low.String()+" to "+high.String())
	}
	return t
}

func (d *document) unknown(f field, known string) {
	d.fault(f.at, "unknown field "+strconv.Quote(f.name), "use one of "+known)
}

func formatFloat(f float64) string {
	return strconv.FormatFloat(f, 'g', -1, 64)
}

func isScalar(node ast.Node) bool {
	_, ok := node.(ast.ScalarNode)
	return ok
}

func text(node ast.Node) string {
	if node == nil {
		return ""
	}
	if s, ok := node.(*ast.StringNode); ok {
		return s.Value
	}
	if !isScalar(node) {
		return ""
	}
	if tk := node.GetToken(); tk != nil {
		return tk.Value
	}
	return ""
}

func positionOf(node ast.Node) position {
	if node == nil {
		return position{}
	}
	tk := node.GetToken()
	if tk == nil || tk.Position == nil {
		return position{}
	}
	return position{line: tk.Position.Line, column: tk.Position.Column}
}
