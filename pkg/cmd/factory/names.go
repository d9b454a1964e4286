package factory

import (
	"encoding/json"
	"strings"
	"unicode"
)

// toNamedFields returns a value as JSON maps and lists with the field names of the
// administration API, which are lower case with underscores, and without null fields.
// The generated types have no tags with these names.
func toNamedFields(value any) (any, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(strings.NewReader(string(encoded)))
	decoder.UseNumber()
	var generic any
	if err := decoder.Decode(&generic); err != nil {
		return nil, err
	}
	return renameFields(generic), nil
}

// renameFields renames the fields of decoded JSON and drops null fields.
func renameFields(value any) any {
	switch v := value.(type) {
	case map[string]any:
		out := make(map[string]any, len(v))
		for name, field := range v {
			if field != nil {
				out[toSnakeCase(name)] = renameFields(field)
			}
		}
		return out
	case []any:
		for i := range v {
			v[i] = renameFields(v[i])
		}
		return v
	default:
		return value
	}
}

// toSnakeCase converts "RetryAfterMs" to "retry_after_ms" and "ID" to "id".
func toSnakeCase(name string) string {
	var b strings.Builder
	runes := []rune(name)
	for i, r := range runes {
		startsWord := unicode.IsUpper(r) && i > 0 && (unicode.IsLower(runes[i-1]) || i+1 < len(runes) && unicode.IsLower(runes[i+1]))
		if startsWord {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
