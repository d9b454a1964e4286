package main

import (
	_ "embed"
	"strings"
)

// namesText holds the names of the platform's protocol, one in a line behind its key. They
// stand in a file of their own because the product's code names them in one folder only.
//
//go:embed wire/names.txt
var namesText string

// named returns the platform's name for a key.
func named(key string) string {
	for line := range strings.Lines(namesText) {
		if k, name, _ := strings.Cut(strings.TrimSpace(line), " "); k == key {
			return name
		}
	}
	panic("no name for the key " + key)
}
