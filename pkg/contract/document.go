package contract

import (
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// position is a position in a file. Line and column start at 1; 0 is unknown.
type position struct {
	line   int
	column int
}

// field is a key of a mapping with its value.
type field struct {
	name  string
	at    position
	value ast.Node
}

// document reads the fields of a file and collects its faults.
type document struct {
	file   string
	faults Faults
}

// addFault records a fault. An unknown line or column counts as 1.
func (d *document) addFault(at position, reason, remedy string) {
	d.faults = append(d.faults, Fault{
		File:   d.file,
		Line:   max(at.line, 1),
		Column: max(at.column, 1),
		Reason: reason,
		Remedy: remedy,
	})
}

// parseRoot parses the file and returns the fields of its single document.
func (d *document) parseRoot(source []byte) []field {
	tokens, tooDeep := tokenize(source)
	if tooDeep != nil {
		d.addFault(tooDeep.at, tooDeep.Error(), "use the fields of a contract")
		return nil
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		d.addFault(syntaxPosition(err), "not valid YAML", "mend the syntax near this place")
		return nil
	}
	var body ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		if body != nil {
			d.addFault(positionOf(doc.Body), "more than one document", "keep one service in a file")
			return nil
		}
		body = doc.Body
	}
	if body == nil {
		d.addFault(position{}, "the file is empty", "write at least service and routes")
		return nil
	}
	return d.readMapping(body, "the file")
}

// readMapping returns the fields of a mapping node; what names the node in fault
// texts. A repeated key is a fault.
func (d *document) readMapping(node ast.Node, what string) []field {
	var values []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		d.addFault(positionOf(node), what+" is not a mapping", "write name: value pairs")
		return nil
	}
	fields := make([]field, 0, len(values))
	seen := make(map[string]bool, len(values))
	for _, v := range values {
		name := scalarText(v.Key)
		at := positionOf(v.Key)
		if seen[name] {
			d.addFault(at, "field "+strconv.Quote(name)+" stands twice", "keep one of them")
			continue
		}
		seen[name] = true
		fields = append(fields, field{name: name, at: at, value: v.Value})
	}
	return fields
}

func (d *document) readList(f field) []ast.Node {
	seq, ok := f.value.(*ast.SequenceNode)
	if !ok {
		d.addFault(f.at, f.name+" is not a list", "write it as [a, b] or with dashes")
		return nil
	}
	return seq.Values
}

func (d *document) readStrings(f field) []string {
	nodes := d.readList(f)
	out := make([]string, 0, len(nodes))
	for _, n := range nodes {
		s := scalarText(n)
		if s == "" {
			d.addFault(positionOf(n), f.name+" holds an empty name", "remove it or give it a name")
			continue
		}
		out = append(out, s)
	}
	return out
}

func (d *document) readString(f field) string {
	if !isScalar(f.value) {
		d.addFault(f.at, f.name+" is not a word", "write one value")
		return ""
	}
	s := scalarText(f.value)
	if s == "" {
		d.addFault(f.at, f.name+" is empty", "give it a value or remove the field")
	}
	return s
}

func (d *document) readBool(f field) bool {
	b, err := strconv.ParseBool(scalarText(f.value))
	if err != nil {
		d.addFault(f.at, f.name+" is neither true nor false", "write true or false")
	}
	return b
}

// readInt returns a whole number. A number below low or above high is a fault.
func (d *document) readInt(f field, low, high int) int {
	n, err := strconv.Atoi(scalarText(f.value))
	if err != nil {
		d.addFault(f.at, f.name+" is not a whole number", "write a number such as "+strconv.Itoa(low))
		return low
	}
	if n < low || n > high {
		d.addFault(f.at, f.name+" is "+strconv.Itoa(n), "use a number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
	return n
}

// readFloat returns a number, which may end in a percent sign. A number below low
// or above high is a fault.
func (d *document) readFloat(f field, low, high float64) float64 {
	n, err := strconv.ParseFloat(strings.TrimSuffix(scalarText(f.value), "%"), 64)
	if err != nil {
		d.addFault(f.at, f.name+" is not a number", "write a number such as "+formatFloat(high))
		return low
	}
	if !(n >= low && n <= high) {
		d.addFault(f.at, f.name+" is "+formatFloat(n), "use a number from "+formatFloat(low)+" to "+formatFloat(high))
	}
	return n
}

// readDuration returns a duration. One below low or above high is a fault.
func (d *document) readDuration(f field, low, high time.Duration) time.Duration {
	t, err := time.ParseDuration(scalarText(f.value))
	if err != nil {
		d.addFault(f.at, f.name+" is not a duration", "write a number with a unit, such as 500ms, 10s or 72h")
		return low
	}
	if t < low || t > high {
		d.addFault(f.at, f.name+" is "+t.String(), "use a duration from "+low.String()+" to "+high.String())
	}
	return t
}

func (d *document) addUnknownField(f field, known string) {
	d.addFault(f.at, "unknown field "+strconv.Quote(f.name), "use one of "+known)
}

func formatFloat(f float64) string {
	return strconv.FormatFloat(f, 'g', -1, 64)
}

func isScalar(node ast.Node) bool {
	_, ok := node.(ast.ScalarNode)
	return ok
}

// scalarText returns the text of a scalar node, or an empty string for any other.
func scalarText(node ast.Node) string {
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
