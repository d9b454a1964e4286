// Package examples embeds the contracts of the example services.
package examples

import "embed"

// Contracts holds the contract files, such as "sutradhar/patha.yaml". The folders are
// the profiles of the command "fleet try".
//
//go:embed sutradhar/*.yaml nordavind/*.yaml
var Contracts embed.FS
