package design

import . "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports the DSL of goa is written to be dot-imported

// Fact is a named value that led to a decision.
var Fact = Type("Fact", func() {
	Attribute("name", String)
	Attribute("value", String)
	Required("name", "value")
})

// Refusal is a request that the fleet answered itself, in place of a backend.
var Refusal = Type("Refusal", func() {
	Attribute("id", String)
	Attribute("kind", String)
	Attribute("operation", String, "not-run, may-have-run or ran")
	Attribute("sending", String, "not-run, may-have-run or ran")
	Attribute("rule", String, "service@revision:line")
	Attribute("rule_text", String, "The contract's text at the rule, in the revision that was in force")
	Attribute("rule_file", String, "The contract's file as it was published")
	Attribute("reason", String)
	Attribute("advice", String, "What the caller may safely do now")
	Attribute("facts", ArrayOf(Fact))
	Attribute("retry_after_ms", Int64)
	Attribute("at", String, func() { Format(FormatDateTime) })
	Attribute("host", String)
	Attribute("caller", String)
	Attribute("request", String, "The caller's own request id")
	Attribute("key", String, "The operation's key")
	Attribute("method", String)
	Attribute("path", String)
	Attribute("rank", String)
	Attribute("backend", String)
	Attribute("attempts", Int)
	Attribute("ledger", LedgerEntry, "The operation's ledger entry as it is now, when it can be read")
	Required("id", "kind", "operation", "sending", "rule", "reason", "advice", "at", "host", "caller", "method", "path", "rank", "attempts")
})

// LedgerEntry is the ledger's entry for an operation.
var LedgerEntry = Type("LedgerEntry", func() {
	Attribute("service", String)
	Attribute("caller", String)
	Attribute("key", String)
	Attribute("state", String, "claimed, ran, not-run or unknown")
	Attribute("host", String, "The host that holds or held the claim")
	Attribute("attempt", UInt64)
	Attribute("status", Int, "The answer's HTTP status, when it ran")
	Attribute("at", String, func() { Format(FormatDateTime) })
	Required("service", "caller", "key", "state")
})

// ContractFile is a contract file to check or to publish.
var ContractFile = Type("ContractFile", func() {
	Attribute("name", String, "File name, for fault messages", func() { MaxLength(1024) })
	Attribute("source", String, "The file's text", func() { MaxLength(262144) })
	Attribute("base", UInt64, "Revision that the change starts from; 0 for a new service", func() { Default(0) })
	Required("name", "source")
})

// ContractFault is an error in a contract file.
var ContractFault = Type("Fault", func() {
	Attribute("file", String)
	Attribute("line", Int)
	Attribute("column", Int)
	Attribute("reason", String)
	Attribute("remedy", String)
	Required("file", "line", "column", "reason", "remedy")
})

// ContractSummary summarizes the contract of a service.
var ContractSummary = Type("ContractSummary", func() {
	Attribute("service", String)
	Attribute("revision", UInt64)
	Attribute("index", UInt64, "Log index of the change that published it")
	Attribute("file", String)
	Attribute("routes", Int)
	Attribute("floor", Float64)
	Attribute("home", String)
	Required("service", "revision", "index", "file", "routes", "floor")
})

// Change is an entry of the change log.
var Change = Type("Change", func() {
	Attribute("id", String)
	Attribute("index", UInt64)
	Attribute("who", String)
	Attribute("why", String)
	Attribute("at", String, func() { Format(FormatDateTime) })
	Attribute("services", ArrayOf(ServiceRevision))
	Required("id", "index", "who", "why", "at", "services")
})

// ServiceRevision identifies a revision of a service's contract.
var ServiceRevision = Type("ServiceRevision", func() {
	Attribute("service", String)
	Attribute("revision", UInt64)
	Required("service", "revision")
})

// Conflict is the error for a change that starts from a revision that is no longer
// in force.
var Conflict = Type("Conflict", func() {
	ErrorName("name", String, "Error name")
	Attribute("service", String)
	Attribute("base", UInt64, "Revision that the change started from")
	Attribute("revision", UInt64, "Revision in force")
	Attribute("difference", String, "From the text in force to the text of the change")
	Required("name", "service", "base", "revision", "difference")
})

// Faults is the error for contract files that are not valid.
var Faults = Type("Faults", func() {
	ErrorName("name", String, "Error name")
	Attribute("faults", ArrayOf(ContractFault))
	Required("name", "faults")
})

// BackendStanding is a backend with the host's decision about its traffic.
var BackendStanding = Type("BackendStanding", func() {
	Attribute("id", String)
	Attribute("service", String)
	Attribute("address", String)
	Attribute("zone", String)
	Attribute("region", String)
	Attribute("slots", Int)
	Attribute("connections", Int)
	Attribute("state", String, "starting, serving, leaving or gone")
	Attribute("standing", String, "serving, ramping, trial, avoided, ejected, or its state")
	Attribute("weight", Float64)
	Attribute("cause", String, "The evidence for the standing")
	Attribute("incarnation", UInt64)
	Attribute("stated", String, "What the backend stated in an answer to this host: leaving, quiet, or empty")
	Attribute("quiet", Int64, "Milliseconds for which the backend wants no requests of this host")
	Attribute("age", Int64, "Milliseconds since the backend stated this")
	Required("id", "service", "address", "zone", "region", "slots", "connections", "state", "standing", "weight", "cause", "incarnation", "stated", "quiet", "age")
})

// FleetHost is a host as known to the host that answers.
var FleetHost = Type("Host", func() {
	Attribute("name", String)
	Attribute("role", String, "entry or control")
	Attribute("zone", String)
	Attribute("region", String)
	Attribute("state", String, "alive, suspect, draining or lost")
	Attribute("index", UInt64, "Log index of the newest change in force there")
	Attribute("admin", String, "Address of its administration API")
	Attribute("traffic", String, "Address for callers, for entry hosts")
	Attribute("incarnation", UInt64)
	Required("name", "role", "zone", "region", "state", "index", "admin", "incarnation")
})

// RankStatus counts the requests of a rank of a service at the host that answers.
var RankStatus = Type("RankStatus", func() {
	Attribute("service", String)
	Attribute("rank", String)
	Attribute("queued", Int)
	Attribute("in_flight", Int)
	Attribute("served", Int64)
	Attribute("refused", Int64)
	Required("service", "rank", "queued", "in_flight", "served", "refused")
})

// ServiceStatus summarizes a service as known to the host that answers.
var ServiceStatus = Type("ServiceStatus", func() {
	Attribute("service", String)
	Attribute("revision", UInt64)
	Attribute("backends", Int)
	Attribute("serving_slots", Int)
	Attribute("usable_slots", Int)
	Attribute("floor_slots", Int)
	Attribute("ejected", ArrayOf(String))
	Attribute("left", Int64, "Backends that stated to this host in an answer that they are leaving, since its start")
	Attribute("quieted", Int64, "Times that a backend asked this host in an answer for no requests, since its start")
	Required("service", "revision", "backends", "serving_slots", "usable_slots", "floor_slots", "ejected", "left", "quieted")
})

// GroupStatus is a replicated group as known to the host that answers.
var GroupStatus = Type("GroupStatus", func() {
	Attribute("group", String)
	Attribute("leader", String)
	Attribute("term", UInt64)
	Attribute("committed", UInt64)
	Attribute("members", ArrayOf(String))
	Attribute("role", String, "The asked host's own role: leader, follower or joining")
	Required("group", "leader", "term", "committed", "members", "role")
})

// LinkStatus counts the bytes of the link to another host.
var LinkStatus = Type("LinkStatus", func() {
	Attribute("peer", String)
	Attribute("sent", Int64, "Bytes sent")
	Attribute("received", Int64, "Bytes received")
	Attribute("crosses", Boolean, "Whether the link crosses regions")
	Required("peer", "sent", "received", "crosses")
})

// FleetStatus is the view of the fleet of the host that answers.
var FleetStatus = Type("FleetStatus", func() {
	Attribute("host", String, "The asked host")
	Attribute("at", String, func() { Format(FormatDateTime) })
	Attribute("index", UInt64)
	Attribute("hosts", ArrayOf(FleetHost))
	Attribute("services", ArrayOf(ServiceStatus))
	Attribute("ranks", ArrayOf(RankStatus))
	Attribute("groups", ArrayOf(GroupStatus))
	Attribute("links", ArrayOf(LinkStatus))
	Required("host", "at", "index", "hosts", "services", "ranks", "groups", "links")
})

// Histogram summarizes a histogram.
var Histogram = Type("Histogram", func() {
	Attribute("name", String, "measure/service/rank/caller")
	Attribute("count", Int64)
	Attribute("mean", Float64)
	Attribute("p50", Float64)
	Attribute("p99", Float64)
	Attribute("max", Float64)
	Attribute("unit", String, "ms, bytes or count")
	Required("name", "count", "mean", "p50", "p99", "max", "unit")
})
