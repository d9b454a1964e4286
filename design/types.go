package design

import . "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports the DSL of goa is written to be dot-imported

// Fact is one number or name that led to a decision.
var Fact = Type("Fact", func() {
	Attribute("name", String)
	Attribute("value", String)
	Required("name", "value")
})

// Refusal is an answer that the fleet made itself.
var Refusal = Type("Refusal", func() {
	Attribute("id", String)
	Attribute("kind", String)
	Attribute("operation", String, "not-run, may-have-run or ran")
	Attribute("sending", String, "not-run, may-have-run or ran")
	Attribute("rule", String, "service@revision:line")
	Attribute("reason", String)
	Attribute("facts", ArrayOf(Fact))
	Attribute("retry_after_ms", Int64)
	Attribute("at", String, func() { Format(FormatDateTime) })
	Attribute("host", String)
	Attribute("caller", String)
	Attribute("request", String)
	Attribute("key", String)
	Attribute("method", String)
	Attribute("path", String)
	Attribute("rank", String)
	Attribute("backend", String)
	Attribute("attempts", Int)
	Required("id", "kind", "operation", "sending", "rule", "reason", "at", "host", "method", "path", "rank")
})
