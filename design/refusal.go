package design

import . "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports the DSL of goa is written to be dot-imported

var _ = Service("refusal", func() {
	Description("Refusals that a host remembers.")
	served("/v1/refusals")

	Method("show", func() {
		Description("Shows one refusal by its id or by the caller's own request id. Any host may be asked: it asks the host that refused.")
		Payload(func() {
			authenticated()
			Attribute("id", String, "Refusal id or request id", func() { MaxLength(256) })
			Required("id")
		})
		Result(Refusal)
		HTTP(func() { GET("/{id}") })
	})

	Method("list", func() {
		Description("Lists this host's refusals, newest first.")
		Payload(func() {
			authenticated()
			page()
			Attribute("caller", String)
			Attribute("service", String)
			Attribute("since", String, func() { Format(FormatDateTime) })
		})
		Result(func() {
			Attribute("items", ArrayOf(Refusal))
			Attribute("next", String, "Cursor of the next page, or empty")
			Required("items", "next")
		})
		HTTP(func() {
			GET("/")
			Param("after")
			Param("limit")
			Param("caller")
			Param("service")
			Param("since")
		})
	})
})
