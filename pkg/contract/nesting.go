package contract

import (
	"strconv"

	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// maxNesting is the number of lists and mappings that may be open at once in brackets
// or on one line. The memory that the YAML parser takes grows with its square.
const maxNesting = 64

// nestingError reports the first token that is nested too deeply.
type nestingError struct{ at position }

// Error implements error.
func (e *nestingError) Error() string {
	return "lists or mappings are nested more than " + strconv.Itoa(maxNesting) + " deep in line " + strconv.Itoa(e.at.line)
}

// tokenize splits YAML into tokens, which must not be nested too deeply.
func tokenize(source []byte) (token.Tokens, *nestingError) {
	tokens := lexer.Tokenize(string(source))
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
			return nil, &nestingError{position{line, t.Position.Column}}
		}
	}
	return tokens, nil
}
