package factory

// PageSize is the number of items that commands request per page.
const PageSize = 500

// Pages returns the items of all pages. fetch returns the page after a cursor and the
// cursor of the next page, which is empty for the last page.
func Pages[T any](fetch func(after string) ([]T, string, error)) ([]T, error) {
	var all []T
	after := ""
	for {
		items, next, err := fetch(after)
		if err != nil {
			return nil, err
		}
		all = append(all, items...)
		if next == "" || next == after {
			return all, nil
		}
		after = next
	}
}

// Text returns the text of an optional field for output, or a dash if it is nil or
// empty.
func Text(s *string) string {
	if s == nil || *s == "" {
		return "-"
	}
	return *s
}
