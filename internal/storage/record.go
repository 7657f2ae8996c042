package storage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// A record consists of a marker, the CRC-32C of its key and body (big-endian), and the body
// in CBOR. bbolt has checksums for its meta pages only, so it would trust a page that was
// corrupted after it was synced. The checksum covers the key, so that a
// record stored under another key is detected too.
//
// Records of earlier versions consist of the body only. They are read without verification, and
// rewritten in the new format with the next snapshot. A CBOR array, map or text never
// begins with the marker.
const (
	checksumMarker     = 0x01
	checksumHeaderSize = 5 // marker and checksum, in bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func recordChecksum(key, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, body)
}

// withChecksum returns the record of a key and body.
func withChecksum(key, body []byte) []byte {
	record := make([]byte, checksumHeaderSize, checksumHeaderSize+len(body))
	record[0] = checksumMarker
	binary.BigEndian.PutUint32(record[1:], recordChecksum(key, body))
	return append(record, body...)
}

// encodeRecord returns the record of a key with the encoding of v as its body.
func encodeRecord(key []byte, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	return withChecksum(key, body), nil
}

// verifyChecksum returns the body of a record and reports whether the record has a checksum. The
// error is a *CorruptError.
func verifyChecksum(key, raw []byte) (body []byte, checksummed bool, err error) {
	if len(raw) == 0 || raw[0] != checksumMarker {
		return raw, false, nil
	}
	if len(raw) < checksumHeaderSize || binary.BigEndian.Uint32(raw[1:]) != recordChecksum(key, raw[checksumHeaderSize:]) {
		return nil, true, corrupt("record", "%q: checksum mismatch", key)
	}
	return raw[checksumHeaderSize:], true, nil
}

// decodeRecord decodes the body of a record into v. If decoding fails, a record with a
// valid checksum gives a *VersionError, and one without a checksum a *CorruptError.
func decodeRecord(key, raw []byte, v any) error {
	body, checksummed, err := verifyChecksum(key, raw)
	if err != nil {
		return err
	}
	switch err := cbor.Unmarshal(body, v); {
	case err == nil:
		return nil
	case checksummed:
		return &VersionError{Record: string(key), Err: err}
	default:
		return corrupt("record", "%q: %v", key, err)
	}
}
