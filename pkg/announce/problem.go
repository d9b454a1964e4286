package announce

import "strings"

// Fault is one field of an announcement that a host does not accept.
type Fault struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// Problem is the answer to a refused announcement, as RFC 9457 describes it.
type Problem struct {
	Type   string  `json:"type"`
	Title  string  `json:"title"`
	Status int     `json:"status"`
	Detail string  `json:"detail"`
	Faults []Fault `json:"faults,omitempty"`
}

// String returns the detail and every fault.
func (p Problem) String() string {
	parts := make([]string, 0, len(p.Faults)+1)
	parts = append(parts, p.Detail)
	for _, f := range p.Faults {
		parts = append(parts, f.Field+" "+f.Reason)
	}
	return strings.Join(parts, "; ")
}
