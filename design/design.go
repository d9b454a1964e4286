// Package design describes the administration API in the DSL of goa, which generates
// the code in gen from it.
package design

import . "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports the DSL of goa is written to be dot-imported

// AdminToken is the security scheme of every method. A verified client certificate
// can replace the token.
var AdminToken = APIKeySecurity("admin_token", func() {
	Description("The token of the host's --admin-token setting, as a bearer token.")
})

var _ = API("mustardramp", func() {
	Title("mustardramp administration")
	Description("Answers why a call was refused and whether it ran, and carries the operators' changes.")
	Version("1")
})

// authenticated adds the administration token to a payload.
func authenticated() {
	APIKey("admin_token", "token", String, "Administration token")
}

// page adds the pagination fields to a payload.
func page() {
	Attribute("after", String, "Cursor: the next field of the page before")
	Attribute("limit", Int, "Most items on a page", func() {
		Minimum(1)
		Maximum(1000)
		Default(100)
	})
}

// served adds the security scheme, the common errors and the URL path to a service.
func served(path string) {
	Security(AdminToken)
	Error("unauthorized", ErrorResult, "The token is missing or wrong")
	Error("not_found", ErrorResult, "Nothing has that name")
	Error("invalid", ErrorResult, "The request cannot be understood")
	Error("unavailable", ErrorResult, "This host cannot answer now; another may")
	HTTP(func() {
		Path(path)
		Response("unauthorized", StatusUnauthorized)
		Response("not_found", StatusNotFound)
		Response("invalid", StatusBadRequest)
		Response("unavailable", StatusServiceUnavailable)
	})
}
