package transport

import (
	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/tuning"
)

// decoder reads bodies of frames. A body is checked as a whole before anything
// is made of it, so that a length can't promise more than is there; these
// bounds keep one byte of a list from becoming a whole element too often.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: tuning.MaxFrameElements, MaxMapPairs: tuning.MaxFrameElements, MaxNestedLevels: tuning.MaxFrameNesting,
		IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic("link: " + err.Error())
	}
	return m
}()

// Decode decodes a body.
func Decode(raw []byte, body any) error { return Error.Wrap(decoder.Unmarshal(raw, body)) }
