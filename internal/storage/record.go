package storage

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
	checksumMarker     = 0x01
	checksumHeaderSize = 5
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func recordChecksum(key, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, body)
}

// withChecksum lays out a record.
func withChecksum(key, body []byte) []byte {
	record := make([]byte, checksumHeaderSize, checksumHeaderSize+len(body))
	record[0] = checksumMarker
	binary.BigEndian.PutUint32(record[1:], recordChecksum(key, body))
	return append(record, body...)
}

// encodeRecord lays out a record of v.
func encodeRecord(key []byte, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	return withChecksum(key, body), nil
}

// verifyChecksum gives the body of a record, and whether a sum vouches for it.
func verifyChecksum(key, raw []byte) (body []byte, summed bool, err error) {
	if len(raw) == 0 || raw[0] != checksumMarker {
		return raw, false, nil
	}
	if len(raw) < checksumHeaderSize || binary.BigEndian.Uint32(raw[1:]) != recordChecksum(key, raw[checksumHeaderSize:]) {
		return nil, true, corrupt("record", "%q: the checksum does not hold", key)
	}
	return raw[checksumHeaderSize:], true, nil
}

// decodeRecord reads a record into v. One whose sum holds and that does not read was
// written by another version of the program: that is no fault of the disk.
func decodeRecord(key, raw []byte, v any) error {
	body, summed, err := verifyChecksum(key, raw)
	if err != nil {
		return err
	}
	switch err := cbor.Unmarshal(body, v); {
	case err == nil:
		return nil
	case summed:
		return &VersionError{Record: string(key), Err: err}
	default:
		return corrupt("record", "%q: %v", key, err)
	}
}
