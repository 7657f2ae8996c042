package disk

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// A record is a mark, the CRC-32C of its key and body (big-endian), and the
// body in CBOR. bbolt sums its meta pages only: a page that was synced and came
// back changed would be believed. The key is summed too, so that a record that
// stands under another key is not believed either.
//
// Records of earlier versions are a body alone. They are read as they are, and
// written anew in the new form with the next snapshot; a CBOR array, map or
// text never begins with the mark.
const (
	sealMark = 0x01
	sealSize = 5
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func sum(key, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, body)
}

// seal lays out a record.
func seal(key, body []byte) []byte {
	out := make([]byte, sealSize, sealSize+len(body))
	out[0] = sealMark
	binary.BigEndian.PutUint32(out[1:], sum(key, body))
	return append(out, body...)
}

// encode lays out a record of v.
func encode(key []byte, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	return seal(key, body), nil
}

// unseal gives the body of a record, and whether a sum vouches for it.
func unseal(key, raw []byte) (body []byte, summed bool, err error) {
	if len(raw) == 0 || raw[0] != sealMark {
		return raw, false, nil
	}
	if len(raw) < sealSize || binary.BigEndian.Uint32(raw[1:]) != sum(key, raw[sealSize:]) {
		return nil, true, torn("record", "%q: the checksum does not hold", key)
	}
	return raw[sealSize:], true, nil
}

// decode reads a record into v. One whose sum holds and that does not read was
// written by another version of the program: that is no fault of the disk.
func decode(key, raw []byte, v any) error {
	body, summed, err := unseal(key, raw)
	if err != nil {
		return err
	}
	switch err := cbor.Unmarshal(body, v); {
	case err == nil:
		return nil
	case summed:
		return &Unknown{Record: string(key), Err: err}
	default:
		return torn("record", "%q: %v", key, err)
	}
}
