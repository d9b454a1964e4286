package design

import . "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports the DSL of goa is written to be dot-imported

// RequestRoute is the route that serves a request.
var RequestRoute = Type("RequestRoute", func() {
	Attribute("rule", String, "service@revision:line")
	Attribute("path", String, "Prefix of a route of the routing table, or pattern of a route of a contract")
	Attribute("name", String, "Name of a route of the routing table")
	Attribute("table_version", UInt64, "Version of the routing table that holds the route")
	Attribute("repeatable", Boolean, "Whether the request may run more than once")
	Attribute("key_header", String, "Header with the operation key that the route needs")
	Attribute("anonymous", Boolean, "Whether requests need no key of a workspace")
	Attribute("rank", String, "Rank of the request, which may be that of its workspace")
	Attribute("target_ms", Int64, "Time within which the answer has its full value")
	Required("rule", "path", "repeatable", "anonymous", "rank")
})

// NearRoute is a route that comes close to a request without a route.
var NearRoute = Type("NearRoute", func() {
	Attribute("host", String)
	Attribute("path", String)
	Attribute("methods", ArrayOf(String), "Empty if the route takes all methods")
	Required("host", "path", "methods")
})

// RequestWorkspace is the workspace of a request with what the asked host knows of its
// use. What the host does not know is absent.
var RequestWorkspace = Type("RequestWorkspace", func() {
	Attribute("name", String)
	Attribute("limited", Boolean)
	Attribute("rate", Float64, "Requests a second over all hosts")
	Attribute("burst", Int)
	Attribute("decision", String, "What the asked host decides", func() {
		Enum("unlimited", "admits", "refuses", "asks-keeper", "draws")
	})
	Attribute("keeper", String, "Host that lends the tokens")
	Attribute("age_ms", Int64, "Time since the keeper last answered")
	Attribute("tokens", Int, "Tokens that can be lent now; known to the keeper only")
	Attribute("admitted", Int64, "Requests that the asked host admitted")
	Attribute("refused", Int64, "Requests that the asked host refused")
	Required("name", "limited", "decision")
})

// RequestBackend is a backend of a group.
var RequestBackend = Type("RequestBackend", func() {
	Attribute("id", String)
	Attribute("zone", String)
	Attribute("region", String)
	Attribute("slots", Int)
	Attribute("in_flight", Int, "Requests in flight; known to the keeper of the group only")
	Attribute("risk", Float64, "Probability that an attempt fails; absent without evidence")
	Attribute("excluded", String, "Why the backend gets no request")
	Attribute("chosen", Boolean, "Whether the asked host would grant a slot of this backend now")
	Required("id", "zone", "region", "slots", "chosen")
})

// RequestGroup is a group of backends as known to the host that answers.
var RequestGroup = Type("RequestGroup", func() {
	Attribute("region", String)
	Attribute("part", Int)
	Attribute("distance", String, func() { Enum("same-zone", "same-region", "across-regions") })
	Attribute("keeper", String, "Host that is asked for a slot")
	Attribute("kept_here", Boolean, "Whether the asked host is the group's keeper")
	Attribute("slots", Int, "Slots of the usable backends")
	Attribute("wait_ms", Int64, "Expected wait of the rank")
	Attribute("wait_age_ms", Int64, "Age of the report of the wait")
	Attribute("free", Int, "Free slots less waiting requests, as last stated by the keeper")
	Attribute("free_age_ms", Int64, "Age of that statement")
	Attribute("free_counts", Boolean, "Whether the statement is new enough to count in the choice")
	Attribute("weight", Float64, "Weight in the random choice among equally good groups")
	Attribute("share", Float64, "Probability that the request goes to this group first")
	Attribute("excluded", String, "Why the request does not go to the group")
	Attribute("outcome", RequestOutcome, "What happens to the request at the group")
	Attribute("backends", ArrayOf(RequestBackend))
	Required("region", "part", "distance", "keeper", "kept_here", "slots", "free_counts", "weight", "share", "backends")
})

// RequestOutcome is what would happen to a request.
var RequestOutcome = Type("RequestOutcome", func() {
	Attribute("action", String, "depends: on the part of the split or on a random number", func() {
		Enum("send", "wait", "refuse", "depends")
	})
	Attribute("wait_ms", Int64, "Approximate wait; absent if it is unknown")
	Attribute("condition", String, "What else has to decide and was not asked")
	Attribute("kind", String, "Kind of the refusal")
	Attribute("retry_after_ms", Int64, "Least Retry-After of the refusal")
	Attribute("reason", String)
	Required("action", "reason")
})

// RequestPart is a service that a request may go to.
var RequestPart = Type("RequestPart", func() {
	Attribute("service", String)
	Attribute("weight", Float64)
	Attribute("share", Float64, "Share of the route's requests")
	Attribute("deadline_ms", Int64, "Time for the first byte of the response")
	Attribute("outcome", RequestOutcome)
	Attribute("groups", ArrayOf(RequestGroup))
	Required("service", "weight", "share", "outcome", "groups")
})

// RequestExplanation describes where a request would go now and why. It holds no keys.
// What the asked host does not know is absent.
var RequestExplanation = Type("RequestExplanation", func() {
	Attribute("asked", String, "The asked host")
	Attribute("at", String, func() { Format(FormatDateTime) })
	Attribute("index", UInt64, "Log index of the newest change in force at the asked host")
	Attribute("current", Boolean, "Whether a control host has confirmed this index not long ago")
	Attribute("table_version", UInt64, "Version of the routing table in force")
	Attribute("route", RequestRoute)
	Attribute("nearest", ArrayOf(NearRoute), "Routes that come closest if none matches")
	Attribute("workspace", RequestWorkspace)
	Attribute("parts", ArrayOf(RequestPart), "The service of the request, or all parts of a split")
	Attribute("outcome", RequestOutcome)
	Required("asked", "at", "index", "current", "nearest", "parts", "outcome")
})

var _ = Service("request", func() {
	Description("Where requests would go.")
	served("/v1/requests")

	Method("explain", func() {
		Description("Explains where a request would go now, without sending it. It takes no slot and no token.")
		Payload(func() {
			authenticated()
			Attribute("method", String, func() { MinLength(1) })
			Attribute("host", String, "Host header")
			Attribute("path", String, "Path and query of the request line", func() { MinLength(1) })
			Attribute("workspace", String, "Name of the workspace; a key is not accepted")
			Attribute("size", Int64, "Length of the body in bytes", func() {
				Minimum(0)
				Default(0)
			})
			Attribute("timeout_ms", Int64, "Time that the caller states", func() { Minimum(1) })
			Required("method", "host", "path")
		})
		Result(RequestExplanation)
		// The workspace is not in the URL, which errors show: it may be a key by mistake.
		HTTP(func() { POST("/explain") })
	})
})
