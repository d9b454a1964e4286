package admin

import "sort"

// pageOf returns at most limit items after a cursor, and the cursor of the next
// page, which is empty on the last page. A cursor is the name of the last item of
// a page. The items must be sorted by name.
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

// valueOf returns the string, or an empty one for nil.
func valueOf(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
