package design

import . "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports the DSL of goa is written to be dot-imported

var _ = Service("ledger", func() {
	Description("Once-only operations.")
	served("/v1/ledger")

	Method("show", func() {
		Description("Shows an operation's entry, from a confirmed read.")
		Payload(func() {
			authenticated()
			Attribute("service", String)
			Attribute("caller", String)
			Attribute("key", String)
			Required("service", "caller", "key")
		})
		Result(LedgerEntry)
		HTTP(func() {
			GET("/")
			Param("service")
			Param("caller")
			Param("key")
		})
	})

	Method("settle", func() {
		Description("Records what an operator found out about an operation whose outcome is unknown.")
		Payload(func() {
			authenticated()
			Attribute("service", String)
			Attribute("caller", String)
			Attribute("key", String)
			Attribute("outcome", String, func() { Enum("ran", "not-run") })
			Attribute("who", String)
			Attribute("why", String)
			Required("service", "caller", "key", "outcome", "who", "why")
		})
		Result(LedgerEntry)
		HTTP(func() { POST("/settle") })
	})
})
