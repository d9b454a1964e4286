package contract

import (
	"strings"
	"testing"
)

// TestDeeplyNestedFileExhaustsMemory parses files with thousands of nested lists or
// mappings. The parser must refuse them before it needs memory with the square of
// their depth; a file of 200 KiB ended the process.
func TestDeeplyNestedFileExhaustsMemory(t *testing.T) {
	const depth = 3000
	for name, source := range map[string]string{
		"lists":            "service: mohor\nhosts: " + strings.Repeat("[", depth) + strings.Repeat("]", depth) + "\n",
		"open lists":       "service: mohor\nhosts: " + strings.Repeat("[", depth) + "\n",
		"mappings":         "service: mohor\nhosts: " + strings.Repeat("{a: ", depth) + "1" + strings.Repeat("}", depth) + "\n",
		"entries":          "service: mohor\nhosts:\n  " + strings.Repeat("- ", depth) + "x\n",
		"keys":             strings.Repeat("? ", depth) + "x\n",
		"closed in quotes": "service: mohor\nhosts: " + strings.Repeat(`["]", `, depth) + "\n",
		"table":            "table: 1\nroutes: " + strings.Repeat("[", depth) + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(name, []byte(source))
			if err == nil || !strings.Contains(err.Error(), "nested more than") {
				t.Errorf("got %.200v, want a fault that names the nesting", err)
			}
		})
	}
	allowed := "service: mohor\nhosts: [a.example]\nroutes:\n" + strings.Repeat("  - {path: /a, methods: [GET]}\n", 2*maxNesting)
	if _, err := Parse("many routes", []byte(allowed)); err != nil && strings.Contains(err.Error(), "nested") {
		t.Errorf("got %.200v for a file with many routes, want no fault of nesting", err)
	}
}
