package link

import (
	"bytes"
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// encode returns v as CBOR in a base64 JSON string, the form of params and
// results on the wire.
func encode(v any) (json.RawMessage, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	return json.Marshal(data)
}

// decode reads a value written by encode into v.
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
