package exchange

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/mustardramp/mustardramp"
)

// TestUndecodableRecordHidesTheOthers sends records of which one cannot be decoded. The
// others must be accepted, so that the exchange between two hosts goes on.
func TestUndecodableRecordHidesTheOthers(t *testing.T) {
	first, last := change("patha", 1, 100), change("mohor", 2, 100)
	type laterRecord struct {
		_       struct{} `cbor:",toarray"`
		Kind    string
		Content map[string]int
	}
	notUTF8 := first
	notUTF8.Key = "\xff"
	for name, odd := range map[string]any{
		"text":                   "no record",
		"number":                 1 << 40,
		"record of another form": laterRecord{Kind: "change", Content: map[string]int{"a": 1}},
		"key that is not UTF-8":  notUTF8,
		"empty":                  nil,
	} {
		t.Run(name, func(t *testing.T) {
			plain, err := cbor.Marshal([]any{first, odd, last})
			if err != nil {
				t.Fatal(err)
			}
			n := NewNode("entry", 1, 0)
			r := &Request{From: "other", Records: append([]byte{encodingPlain}, plain...)}
			_, accepted, err := n.HandleRequest(start, r)
			if err != nil {
				t.Fatalf("got %v, want the request answered", err)
			}
			got := 0
			for _, a := range accepted {
				if a.Key == first.Key || a.Key == last.Key {
					got++
				}
			}
			if got != 2 || len(accepted) != 2 || n.Newest() != mustardramp.Index(last.Version.Epoch) {
				t.Errorf("got %d of 2 records, newest change %d, want both", got, n.Newest())
			}
		})
	}
}
