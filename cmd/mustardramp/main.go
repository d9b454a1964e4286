// Command mustardramp runs and operates a fleet of proxy hosts.
package main

import (
	"os"

	"github.com/mustardramp/mustardramp/pkg/cmd/root"
)

// version is the version of the program; the linker sets it in releases.
var version = "development"

func main() {
	os.Exit(int(root.Main(version, os.Args[1:])))
}
