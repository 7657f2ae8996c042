package storage

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"io"
	"math/bits"
)

// Layout of a bbolt file, version 2, as described by bbolt's documentation and its consistency
// checker. Sizes and offsets are in bytes. The numbers in the file are little-endian on
// all machines that the daemons run on.
const (
	boltMagic             = 0xED0CDAED
	boltVersion           = 2
	noFreelist            = ^uint64(0)
	pageHeaderSize        = 16
	elementSize           = 16
	bucketHeaderSize      = 16
	metaChecksumOffset    = 56
	metaSize              = 64
	branchPage            = 0x01
	leafPage              = 0x02
	freelistPage          = 0x10
	freelistCountOverflow = 0xFFFF // the count is the first element of the list
	bucketLeafFlag        = 0x01
	minPageSize           = 1 << 10
	maxPageSize           = 1 << 24
	metaPages             = 2 // the first pages of a file; no tree refers to them
	pageIDSize            = 8
	initialPages          = 4 // of a new file
	initialPageSize       = 4 << 10
	maxBucketDepth        = 4 // the layout of this package needs 3
)

// boltMeta is the newest valid meta page.
type boltMeta struct {
	pageSize      int64
	root          uint64
	freelist      uint64
	highWaterMark uint64 // pages from here on are not in use
	txid          uint64
}

// newestMeta selects one of the two meta pages as bbolt does: the valid one with the
// higher transaction ID. An invalid one was torn by a power failure before
// its sync, so its transaction was never acknowledged and the other page is current.
// (A page that is corrupted after its sync looks the same.) The older page must not
// be used if the tree of the newer one is corrupt: the newer page was written
// after the pages of its tree were synced, and their content may have been acknowledged.
func newestMeta(reader io.ReaderAt, size int64) (boltMeta, error) {
	var newest boltMeta
	found := false
	try := func(offset int64) error {
		if offset+pageHeaderSize+metaSize > size {
			return nil
		}
		buffer := make([]byte, pageHeaderSize+metaSize)
		if err := readAt(reader, buffer, offset); err != nil {
			return err
		}
		meta, ok := parseMeta(buffer[pageHeaderSize:])
		// The second meta page starts at an offset of one page, and the page size is not known yet.
		if ok && (offset == 0 || offset == meta.pageSize) && (!found || meta.txid > newest.txid) {
			newest, found = meta, true
		}
		return nil
	}
	if err := try(0); err != nil {
		return newest, err
	}
	for offset := int64(minPageSize); offset <= maxPageSize; offset *= 2 {
		if err := try(offset); err != nil {
			return newest, err
		}
	}
	if !found {
		return newest, corrupt("meta", "neither meta page is valid")
	}
	return newest, nil
}

// hasBothMetas reports whether both meta pages of a file are valid. If one is not, the
// newest transaction may be missing.
func hasBothMetas(reader io.ReaderAt, size, pageSize int64) (bool, error) {
	for _, offset := range []int64{0, pageSize} {
		buffer := make([]byte, pageHeaderSize+metaSize)
		if offset+int64(len(buffer)) > size {
			return false, nil
		}
		if err := readAt(reader, buffer, offset); err != nil {
			return false, err
		}
		if meta, ok := parseMeta(buffer[pageHeaderSize:]); !ok || meta.pageSize != pageSize {
			return false, nil
		}
	}
	return true, nil
}

// parseMeta decodes the meta of a meta page, and reports whether it is valid.
func parseMeta(b []byte) (boltMeta, bool) {
	order := binary.LittleEndian
	checksum := fnv.New64a()
	_, _ = checksum.Write(b[:metaChecksumOffset])
	meta := boltMeta{
		pageSize:      int64(order.Uint32(b[8:])),
		root:          order.Uint64(b[16:]),
		freelist:      order.Uint64(b[32:]),
		highWaterMark: order.Uint64(b[40:]),
		txid:          order.Uint64(b[48:]),
	}
	isBolt := order.Uint32(b) == boltMagic && order.Uint32(b[4:]) == boltVersion
	isPageSize := meta.pageSize >= minPageSize && meta.pageSize <= maxPageSize && bits.OnesCount64(uint64(meta.pageSize)) == 1
	return meta, isBolt && isPageSize && order.Uint64(b[metaChecksumOffset:]) == checksum.Sum64()
}

// page is a page with its overflow pages, or the page that is stored inline in the value of a small
// bucket. It holds at least a page header.
type page []byte

func (p page) id() uint64 { return binary.LittleEndian.Uint64(p) }

func (p page) flags() uint16 { return binary.LittleEndian.Uint16(p[8:]) }

// count returns the number of elements.
func (p page) count() int { return int(binary.LittleEndian.Uint16(p[10:])) }

// overflow returns the number of overflow pages.
func (p page) overflow() uint64 { return uint64(binary.LittleEndian.Uint32(p[12:])) }

// hasAllElements reports whether the element headers of the page lie within it.
func (p page) hasAllElements() bool { return pageHeaderSize+p.count()*elementSize <= len(p) }

// branchElement returns an element of a branch page: the first key of a child page, and the ID of that page.
func (p page) branchElement(i int) (key []byte, child uint64, err error) {
	order := binary.LittleEndian
	offset := pageHeaderSize + i*elementSize
	element := p[offset:]
	key, err = p.slice(uint64(offset)+uint64(order.Uint32(element)), uint64(order.Uint32(element[4:])))
	return key, order.Uint64(element[8:]), err
}

// leafElement returns an element of a leaf page and reports whether its value is a bucket.
func (p page) leafElement(i int) (key, value []byte, isBucket bool, err error) {
	order := binary.LittleEndian
	offset := pageHeaderSize + i*elementSize
	element := p[offset:]
	start := uint64(offset) + uint64(order.Uint32(element[4:]))
	keySize, valueSize := uint64(order.Uint32(element[8:])), uint64(order.Uint32(element[12:]))
	if key, err = p.slice(start, keySize); err != nil {
		return nil, nil, false, err
	}
	value, err = p.slice(start+keySize, valueSize)
	return key, value, order.Uint32(element)&bucketLeafFlag != 0, err
}

// slice returns size bytes of the page, beginning at start.
func (p page) slice(start, size uint64) ([]byte, error) {
	if start > uint64(len(p)) || size > uint64(len(p))-start {
		return nil, corrupt("page", "element of %d bytes at offset %d runs past the end of the page", size, start)
	}
	return p[start : start+size : start+size], nil
}

// readAt fills a buffer. A file that ends too early gives a *CorruptError, any other
// failure an *UnavailableError.
func readAt(reader io.ReaderAt, buffer []byte, offset int64) error {
	_, err := reader.ReadAt(buffer, offset)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return corrupt("file", "ends before offset %d", offset+int64(len(buffer)))
	}
	if err != nil {
		return unavailable("read", err)
	}
	return nil
}
