package factory

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// Table prints rows. On a terminal, it aligns the columns below a heading; otherwise
// it separates the columns with tabs and omits the heading, for scripts.
func (s Streams) Table(heading []string, rows [][]string) error {
	if !s.Terminal {
		for _, row := range rows {
			if _, err := fmt.Fprintln(s.Out, strings.Join(row, "\t")); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(heading, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// JSON prints a value as indented JSON with the field names of the administration API.
func (s Streams) JSON(value any) error {
	named, err := toNamedFields(value)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(s.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(named)
}

// Print prints formatted text. It ignores errors of the output.
func (s Streams) Print(format string, args ...any) {
	fmt.Fprintf(s.Out, format, args...)
}
