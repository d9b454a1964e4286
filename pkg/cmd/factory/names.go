package factory

import (
	"encoding/json"
	"strings"
	"unicode"
)

// plain returns a value as JSON maps and lists with the field names of the
// administration API: lower case with underscores, without null fields. The
// generated types carry no such names themselves.
func plain(value any) (any, error) {
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
	return renamed(generic), nil
}

func renamed(value any) any {
	switch v := value.(type) {
	case map[string]any:
		out := make(map[string]any, len(v))
		for name, field := range v {
			if field != nil {
				out[snake(name)] = renamed(field)
			}
		}
		return out
	case []any:
		for i := range v {
			v[i] = renamed(v[i])
		}
		return v
	default:
		return value
	}
}

// snake turns "RetryAfterMs" into "retry_after_ms" and "ID" into "id".
func snake(name string) string {
	var b strings.Builder
	runes := []rune(name)
	for i, r := range runes {
		starts := unicode.IsUpper(r) && i > 0 && (unicode.IsLower(runes[i-1]) || i+1 < len(runes) && unicode.IsLower(runes[i+1]))
		if starts {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
