package admin

import "sort"

// pageOf returns the items after a cursor, which is the name of the last item
// before, and the next cursor. The items are sorted by name.
func pageOf[T any](items []T, name func(T) string, after *string, limit int) ([]T, string) {
	start := 0
	if after != nil && *after != "" {
		start = sort.Search(len(items), func(i int) bool { return name(items[i]) > *after })
	}
	end := min(start+limit, len(items))
	page := items[start:end]
	if end == len(items) || len(page) == 0 {
		return page, ""
	}
	return page, name(page[len(page)-1])
}

// optional returns nil for an empty string.
func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// text returns the string, or an empty one.
func text(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
