// Package codec encodes values as canonical CBOR: equal values give equal bytes
// and times keep their nanoseconds.
package codec

import (
	"github.com/fxamacker/cbor/v2"
)

var mode = newMode()

func newMode() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return m
}

// Marshal returns the encoding of v.
func Marshal(v any) ([]byte, error) { return mode.Marshal(v) }

// Unmarshal decodes data into the value that v points to.
func Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }
