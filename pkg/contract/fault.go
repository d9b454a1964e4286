package contract

import (
	"errors"
	"fmt"
	"sort"
	"strings"
)

// Fault is one error in a contract file.
type Fault struct {
	File string `json:"file"`
	// Line and Column count from 1.
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Reason string `json:"reason"`
	Remedy string `json:"remedy"`
}

// String returns "file:line:column: reason: remedy".
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Reason, f.Remedy)
}

// Faults are all errors found in a set of files. It is an error when it is
// not empty.
type Faults []Fault

// Error returns one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

func (f Faults) sorted() Faults {
	sort.SliceStable(f, func(i, j int) bool {
		a, b := f[i], f[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return f
}

// FaultsOf returns the faults of an error that Parse returned.
func FaultsOf(file string, err error) Faults {
	var faults Faults
	if errors.As(err, &faults) {
		return faults
	}
	return Faults{{File: file, Line: 1, Column: 1, Reason: err.Error(), Remedy: "mend the file"}}
}
