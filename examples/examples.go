// Package examples holds the contracts of the example services.
package examples

import "embed"

// Contracts holds the contract files: "sutradhar/patha.yaml" and so on.
//
//go:embed sutradhar/*.yaml nordavind/*.yaml
var Contracts embed.FS
