// Package design describes the administration API for the goa generator.
package design

import . "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports the DSL of goa is written to be dot-imported

// AdminToken protects every method. A verified client certificate stands in
// for it.
var AdminToken = APIKeySecurity("admin_token", func() {
	Description("The token of the host's --admin-token setting, as a bearer token.")
})

var _ = API("mustardramp", func() {
	Title("mustardramp administration")
	Description("Answers why a call was refused and whether it ran, and carries the operators' changes.")
	Version("1")
})

// authenticated adds the token to a payload.
func authenticated() {
	APIKey("admin_token", "token", String, "Administration token")
}

// page adds the fields of pagination to a payload.
func page() {
	Attribute("after", String, "Cursor: the next field of the page before")
	Attribute("limit", Int, "Most items on a page", func() {
		Minimum(1)
		Maximum(1000)
		Default(100)
	})
}

// served adds the errors that every method can return, and the path of the
// service.
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
