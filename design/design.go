// Package design describes the administration API for the goa generator.
package design

import . "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports the DSL of goa is written to be dot-imported

var _ = API("mustardramp", func() {
	Title("mustardramp administration")
	Description("Answers why a call was refused and whether it ran, and carries the operators' changes.")
	Version("1")
})
