// Package codec encodes values as canonical CBOR: equal values have equal
// encodings, and times keep their nanoseconds. All functions may be called
// concurrently.
package codec

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// encMode holds the encoding options. It is immutable after initialization.
var encMode = newEncMode()

// newEncMode panics if the options are invalid.
func newEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // Unreachable: the options are constants.
	}
	return m
}

// decMode accepts collections of every size that Marshal writes. With the
// library's limits, a snapshot of more than 131,072 objects could be written but
// not read.
var decMode = newDecMode()

// newDecMode panics if the options are invalid.
func newDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err) // Unreachable: the options are constants.
	}
	return m
}

// Marshal returns the canonical CBOR encoding of v.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes CBOR data into the value that v points to.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }
