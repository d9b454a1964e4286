package contract

import (
	"errors"
	"fmt"
	"sort"
	"strings"
)

// Fault is an error in a contract file.
type Fault struct {
	// File is the name of the file.
	File string `json:"file"`
	// Line and Column start at 1.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Reason states what is wrong.
	Reason string `json:"reason"`
	// Remedy states how to correct it.
	Remedy string `json:"remedy"`
}

// String returns "file:line:column: reason: remedy".
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Reason, f.Remedy)
}

// Faults holds all errors that were found in a set of files. It implements error;
// an empty value means that there is no error.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the faults by file, line and column, and returns them.
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

// FaultsOf returns the faults of an error that Parse returned for a file. Any other
// error becomes a fault in the first line of the file.
func FaultsOf(file string, err error) Faults {
	var faults Faults
	if errors.As(err, &faults) {
		return faults
	}
	return Faults{{File: file, Line: 1, Column: 1, Reason: err.Error(), Remedy: "mend the file"}}
}
