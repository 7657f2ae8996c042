package storage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// A record is a marker, the CRC-32C of its key and body (big-endian), and the body
// in CBOR. bbolt has checksums for its meta pages only: a page that was synced and
// came back changed would be trusted. The checksum includes the key, so that a
// record under another key is not trusted either.
//
// Records of earlier versions are a body alone. They are read as they are, and
// rewritten in the new form with the next snapshot; a CBOR array, map or text never
// begins with the marker.
const (
	checksumMarker     = 0x01
	checksumHeaderSize = 5 // bytes of marker and checksum
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func recordChecksum(key, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, body)
}

// withChecksum returns the record with a body.
func withChecksum(key, body []byte) []byte {
	record := make([]byte, checksumHeaderSize, checksumHeaderSize+len(body))
	record[0] = checksumMarker
	binary.BigEndian.PutUint32(record[1:], recordChecksum(key, body))
	return append(record, body...)
}

// encodeRecord returns the record with v as body.
func encodeRecord(key []byte, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	return withChecksum(key, body), nil
}

// verifyChecksum returns the body of a record, and whether it has a checksum. The
// error is a *CorruptError.
func verifyChecksum(key, raw []byte) (body []byte, checksummed bool, err error) {
	if len(raw) == 0 || raw[0] != checksumMarker {
		return raw, false, nil
	}
	if len(raw) < checksumHeaderSize || binary.BigEndian.Uint32(raw[1:]) != recordChecksum(key, raw[checksumHeaderSize:]) {
		return nil, true, corrupt("record", "%q: the checksum does not hold", key)
	}
	return raw[checksumHeaderSize:], true, nil
}

// decodeRecord decodes the body of a record into v. If that fails, a record with a
// valid checksum is a *VersionError, and one without a checksum a *CorruptError.
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
