package design

import . "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports the DSL of goa is written to be dot-imported

var _ = Service("refusal", func() {
	Description("Refusals that a host remembers.")
	Error("unauthorized", ErrorResult)
	Error("not_found", ErrorResult)
	HTTP(func() {
		Path("/v1/refusals")
		Response("unauthorized", StatusUnauthorized)
		Response("not_found", StatusNotFound)
	})

	Method("show", func() {
		Description("Shows one refusal by its id or by the caller's own request id.")
		Payload(func() {
			Attribute("token", String, "Administration token")
			Attribute("id", String, "Refusal id or request id")
			Required("id")
		})
		Result(Refusal)
		HTTP(func() {
			GET("/{id}")
			Header("token:Authorization")
			Response(StatusOK)
		})
	})
})
