package design

import . "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports the DSL of goa is written to be dot-imported

// RefusalCount counts the refusals of a kind.
var RefusalCount = Type("RefusalCount", func() {
	Attribute("kind", String)
	Attribute("count", Int64)
	Required("kind", "count")
})

// Workspace is a workspace of the routing table in force, with what the asked host
// counted for it. It holds no keys, only their number.
var Workspace = Type("Workspace", func() {
	Attribute("name", String)
	Attribute("keys", Int, "Number of keys")
	Attribute("rate", Float64, "Requests a second over all hosts; 0 sets no limit")
	Attribute("burst", Int, "Requests beyond the rate that may come at once")
	Attribute("rank", String, "Rank that takes precedence over those of routes; absent if the workspace has no priority")
	Attribute("requests", Int64, "Requests that the host counted, refused ones included")
	Attribute("served", Int64, "Requests that got a complete response")
	Attribute("refused", ArrayOf(RefusalCount), "Refusals by kind")
	Required("name", "keys", "rate", "burst", "requests", "served", "refused")
})

var _ = Service("workspace", func() {
	Description("Workspaces: their limits, use and refusals.")
	served("/v1/workspaces")

	Method("list", func() {
		Description("Lists the workspaces in force at the asked host.")
		Payload(func() {
			authenticated()
			page()
		})
		Result(func() {
			Attribute("items", ArrayOf(Workspace))
			Attribute("next", String)
			Required("items", "next")
		})
		HTTP(func() {
			GET("/")
			Param("after")
			Param("limit")
		})
	})

	Method("show", func() {
		Description("Shows one workspace.")
		Payload(func() {
			authenticated()
			Attribute("name", String)
			Required("name")
		})
		Result(Workspace)
		HTTP(func() {
			GET("/show")
			Param("name")
		})
	})
})
