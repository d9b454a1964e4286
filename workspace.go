package mustardramp

import "context"

// WorkspaceName identifies a workspace: the callers that share keys, a quota and a
// priority.
type WorkspaceName string

// Quota limits the requests of a workspace over all entry hosts together. Its zero value
// sets no limit.
type Quota struct {
	// Rate is the number of requests a second; 0 sets no limit.
	Rate float64
	// Burst is the number of requests beyond Rate that may come at once after a time
	// with few requests.
	Burst int
}

// IsLimited reports whether the quota sets a limit.
func (q Quota) IsLimited() bool {
	return q.Rate > 0
}

// Quotas admits the requests of workspaces within their quotas.
type Quotas interface {
	// Take takes a token for one request. It returns nil if the request is admitted,
	// and a denial of KindQuota otherwise. It may wait for another host, but not after
	// the context has ended.
	Take(ctx context.Context, workspace WorkspaceName, quota Quota) *Denial
	// Return gives back the token of a request that was not sent to a backend.
	Return(workspace WorkspaceName)
}
