package factory

// PageSize is the number of items asked for at a time.
const PageSize = 500

// Pages collects the items of all pages.
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

// Text returns the text of an optional field, or a dash.
func Text(s *string) string {
	if s == nil || *s == "" {
		return "-"
	}
	return *s
}
