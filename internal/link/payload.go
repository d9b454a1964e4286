package link

import (
	"bytes"
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// encode returns a value as CBOR in a JSON string, the form that params and
// results have on the wire.
func encode(v any) (json.RawMessage, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	return json.Marshal(data)
}

// decode reads a value that encode wrote.
func decode(raw *json.RawMessage, v any) error {
	if raw == nil {
		return ErrRemote.New("message without payload")
	}
	var data []byte
	if err := json.NewDecoder(bytes.NewReader(*raw)).Decode(&data); err != nil {
		return err
	}
	return cbor.Unmarshal(data, v)
}
