package contract

import (
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
	"github.com/zeebo/errs"
)

// errNesting is the class of errors for YAML that is nested too deeply.
var errNesting = errs.Class("nesting")

// maxNesting is the number of lists and mappings that may be open at once in brackets
// or on one line. The memory that the YAML parser takes grows with its square.
const maxNesting = 64

// tokenize splits YAML into tokens. It returns the position of the first one that is
// nested too deeply, and whether there is one.
func tokenize(source []byte) (tokens token.Tokens, at position, tooDeep bool) {
	tokens = lexer.Tokenize(string(source))
	brackets, entries, line := 0, 0, 0
	for _, t := range tokens {
		if t.Position.Line != line {
			line, entries = t.Position.Line, 0
		}
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			brackets++
		case token.SequenceEndType, token.MappingEndType:
			brackets = max(0, brackets-1)
		case token.SequenceEntryType, token.MappingKeyType:
			entries++
		}
		if brackets > maxNesting || entries > maxNesting {
			return nil, position{line, t.Position.Column}, true
		}
	}
	return tokens, position{}, false
}
