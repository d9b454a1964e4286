package announce

import "strings"

// Fault is an invalid field of an announcement.
type Fault struct {
	// Field is the JSON name of the field.
	Field string `json:"field"`
	// Reason states what is wrong, such as "is not at least 1".
	Reason string `json:"reason"`
}

// Problem is the body of the response to a rejected announcement, in the format of
// RFC 9457.
type Problem struct {
	Type   string  `json:"type"`
	Title  string  `json:"title"`
	Status int     `json:"status"`
	Detail string  `json:"detail"`
	Faults []Fault `json:"faults,omitempty"`
}

// String returns the detail and all faults, separated by semicolons.
func (p Problem) String() string {
	parts := make([]string, 0, len(p.Faults)+1)
	parts = append(parts, p.Detail)
	for _, f := range p.Faults {
		parts = append(parts, f.Field+" "+f.Reason)
	}
	return strings.Join(parts, "; ")
}
