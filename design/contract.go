package design

import . "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports the DSL of goa is written to be dot-imported

var _ = Service("contract", func() {
	Description("The services' contracts.")
	served("/v1/contracts")

	Method("check", func() {
		Description("Reports every fault in files, also against the contracts in force.")
		Payload(func() {
			authenticated()
			Attribute("files", ArrayOf(ContractFile), func() { MinLength(1) })
			Required("files")
		})
		Result(func() {
			Attribute("faults", ArrayOf(ContractFault))
			Required("faults")
		})
		HTTP(func() { POST("/check") })
	})

	Method("publish", func() {
		Description("Puts files in force as one change. A resent change returns the first result.")
		Payload(func() {
			authenticated()
			Attribute("change", String, "Change id, chosen by the operator's command", func() {
				MinLength(1)
				MaxLength(128)
			})
			Attribute("who", String, func() { MaxLength(256) })
			Attribute("why", String, func() { MaxLength(1024) })
			Attribute("files", ArrayOf(ContractFile), func() { MinLength(1) })
			Required("change", "who", "why", "files")
		})
		Result(Change)
		Error("conflict", Conflict)
		Error("faults", Faults)
		HTTP(func() {
			POST("/")
			Response("conflict", StatusConflict)
			Response("faults", StatusUnprocessableEntity)
		})
	})

	Method("list", func() {
		Description("Lists the contracts in force at this host.")
		Payload(func() {
			authenticated()
			page()
		})
		Result(func() {
			Attribute("items", ArrayOf(ContractSummary))
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
		Description("Shows a contract's text.")
		Payload(func() {
			authenticated()
			Attribute("service", String)
			Attribute("revision", UInt64, "0 for the one in force", func() { Default(0) })
			Required("service")
		})
		Result(func() {
			Attribute("summary", ContractSummary)
			Attribute("source", String)
			Required("summary", "source")
		})
		HTTP(func() {
			GET("/{service}")
			Param("revision")
		})
	})

	Method("log", func() {
		Description("Lists accepted changes, newest first.")
		Payload(func() {
			authenticated()
			page()
			Attribute("service", String, "Only changes of this service")
		})
		Result(func() {
			Attribute("items", ArrayOf(Change))
			Attribute("next", String)
			Required("items", "next")
		})
		HTTP(func() {
			GET("/log")
			Param("after")
			Param("limit")
			Param("service")
		})
	})
})
