package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/mustardramp/mustardramp"
)

const authorizationHeader = "Authorization"

// noKeyReason is why a request without a key is refused.
const noKeyReason = "the request has no key of a workspace"

// authenticate finds the workspace of the request by its key. Without a known key it
// refuses the request if the routing table holds workspaces, unless the route is
// anonymous.
func (x *exchange) authenticate() *mustardramp.Denial {
	if !x.contractSet.HasWorkspaces() {
		return nil
	}
	key, reason := x.readKey()
	if reason == "" {
		x.workspace = x.contractSet.Workspace(key)
		reason = "no workspace has the key of the request"
	}
	if x.workspace != nil {
		x.apiKey = key
	}
	return x.applyWorkspace(reason)
}

// applyWorkspace gives the request the name and the rank of its workspace. Without a
// workspace it refuses the request for the reason, unless the route is anonymous.
func (x *exchange) applyWorkspace(reason string) *mustardramp.Denial {
	if x.workspace != nil {
		x.caller, x.callerStable = mustardramp.CallerName(x.workspace.Name), true
		x.rank = x.rankOfWorkspace(x.rank)
		return nil
	}
	if x.route != nil && x.route.Anonymous {
		return nil
	}
	if x.h.config.IsCurrent != nil && !x.h.config.IsCurrent() {
		return &mustardramp.Denial{
			Kind:       mustardramp.KindNoContract,
			Reason:     "the host has no contact with the control hosts, and cannot know whether the request needs a key and which keys are new",
			RetryAfter: time.Second,
		}
	}
	return &mustardramp.Denial{Kind: mustardramp.KindUnauthorized, Reason: reason}
}

// readKey returns the key of the request, or the reason why it states none. The
// reason holds nothing of the header, which may be a key with a mistake.
func (x *exchange) readKey() (key, reason string) {
	values := x.r.Header[authorizationHeader]
	switch len(values) {
	case 0:
		return "", noKeyReason
	case 1:
	default:
		return "", "the request has more than one Authorization header"
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, x.h.config.Headers.KeyScheme) {
		return "", "the Authorization header has another scheme than " + x.h.config.Headers.KeyScheme
	}
	if key == "" || strings.ContainsAny(key, " \t") {
		return "", "the Authorization header is not a scheme, a space and a key"
	}
	return key, ""
}

// rankOfWorkspace returns the rank of the workspace if it has one, and the rank of
// the route otherwise.
func (x *exchange) rankOfWorkspace(route mustardramp.Rank) mustardramp.Rank {
	if x.workspace != nil && x.workspace.HasRank {
		return x.workspace.Rank
	}
	return route
}

// keyChangeRetryAfter is the time after which a request whose key changed its
// workspace may be sent again. The new table is in force at this host by then.
const keyChangeRetryAfter = 100 * time.Millisecond

// findKeyChange returns a denial if the routing table now in force no longer gives
// the key to the workspace that the request was accepted for. It is called before the
// first byte of each attempt, because the request may have waited for a slot.
func (x *exchange) findKeyChange() *mustardramp.Denial {
	if x.workspace == nil {
		return nil
	}
	set := x.h.config.Contracts()
	if set == x.contractSet || set == nil {
		return nil
	}
	now := set.Workspace(x.apiKey)
	switch {
	case now != nil && now.Name == x.workspace.Name:
		return nil
	case now == nil && set.HasWorkspaces() && !x.route.Anonymous:
		return &mustardramp.Denial{Kind: mustardramp.KindUnauthorized, Reason: "the key was removed before the request was sent"}
	default:
		// Sent again, the request is served for another workspace or for none.
		return &mustardramp.Denial{
			Kind:       mustardramp.KindNoContract,
			Reason:     "the key left its workspace before the request was sent",
			RetryAfter: keyChangeRetryAfter,
		}
	}
}

// needsToken reports whether the request needs a token of its workspace's quota.
func (x *exchange) needsToken() bool {
	return x.h.config.Quotas != nil && x.workspace != nil && x.workspace.Quota.IsLimited()
}

// takeToken takes a token of the workspace's quota.
func (x *exchange) takeToken() *mustardramp.Denial {
	if !x.needsToken() {
		return nil
	}
	x.watchCaller()
	ctx, cancel := context.WithTimeout(x.ctx, x.deadline.Sub(x.h.config.Clock.Now()))
	defer cancel()
	denial := x.h.config.Quotas.Take(ctx, x.workspace.Name, x.workspace.Quota)
	if denial != nil && x.ctx.Err() != nil {
		return x.interruptedDenial(x.ctx)
	}
	x.hasToken = denial == nil
	return denial
}

// returnUnusedToken gives the token back if no byte of the request was sent to a
// backend.
func (x *exchange) returnUnusedToken() {
	if x.hasToken && x.sendCount == 0 {
		x.h.config.Quotas.Return(x.workspace.Name)
	}
	x.hasToken = false
}

// replaceWorkspaceHeaders removes the key from the headers for a backend, and sets the
// header with the workspace's name in place of what the caller sent under that name.
func (x *exchange) replaceWorkspaceHeaders(header http.Header) {
	if !x.contractSet.HasWorkspaces() {
		return
	}
	x.removeWorkspaceHeaders(header)
	if x.workspace != nil {
		header[http.CanonicalHeaderKey(x.h.config.Headers.Workspace)] = []string{string(x.workspace.Name)}
	}
}

// removeWorkspaceTrailers removes the key and the workspace's name from the trailers
// of the request: backends may merge trailers into the headers.
func (x *exchange) removeWorkspaceTrailers() {
	if x.contractSet.HasWorkspaces() {
		x.removeWorkspaceHeaders(x.r.Trailer)
	}
}

// removeWorkspaceHeaders removes every header that a backend could take for the key or
// for the workspace's name.
func (x *exchange) removeWorkspaceHeaders(header http.Header) {
	for name := range header {
		if isReadAs(name, authorizationHeader) || isReadAs(name, x.h.config.Headers.Workspace) {
			delete(header, name)
		}
	}
}

// isReadAs reports whether a backend could take one header name for another. Some
// ignore the case and replace every other character than letters and digits by an
// underscore.
func isReadAs(name, other string) bool {
	if len(name) != len(other) {
		return false
	}
	for i := range len(name) {
		if foldHeaderByte(name[i]) != foldHeaderByte(other[i]) {
			return false
		}
	}
	return true
}

func foldHeaderByte(c byte) byte {
	switch {
	case c >= 'A' && c <= 'Z':
		return c + 'a' - 'A'
	case c >= 'a' && c <= 'z' || c >= '0' && c <= '9':
		return c
	default:
		return '_'
	}
}
