package design

import . "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports the DSL of goa is written to be dot-imported

var _ = Service("fleet", func() {
	Description("Hosts, backends, links, ranks and measurements.")
	served("/v1")

	Method("status", func() {
		Description("Shows the asked host's view of the fleet.")
		Payload(func() { authenticated() })
		Result(FleetStatus)
		HTTP(func() { GET("/status") })
	})

	Method("backends", func() {
		Description("Lists backends with their standing and its evidence.")
		Payload(func() {
			authenticated()
			page()
			Attribute("service", String)
		})
		Result(func() {
			Attribute("items", ArrayOf(BackendStanding))
			Attribute("next", String)
			Required("items", "next")
		})
		HTTP(func() {
			GET("/backends")
			Param("after")
			Param("limit")
			Param("service")
		})
	})

	Method("drain", func() {
		Description("Stops the asked host gracefully: no request in flight is cut off.")
		Payload(func() {
			authenticated()
			Attribute("who", String)
			Attribute("why", String)
			Required("who", "why")
		})
		HTTP(func() {
			POST("/drain")
			Response(StatusAccepted)
		})
	})

	Method("metrics", func() {
		Description("Shows the host's histograms.")
		Payload(func() {
			authenticated()
			page()
			Attribute("prefix", String)
		})
		Result(func() {
			Attribute("items", ArrayOf(Histogram))
			Attribute("next", String)
			Required("items", "next")
		})
		HTTP(func() {
			GET("/metrics")
			Param("after")
			Param("limit")
			Param("prefix")
		})
	})
})
