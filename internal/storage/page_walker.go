package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"io"
	"math/bits"
)

// Layout of a bbolt file, version 2, as its documentation and its own checker give
// it. Sizes and offsets are in bytes; the numbers in the file are little-endian on
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

// pageWalker walks a bbolt file without bbolt. It exists because bbolt trusts the
// pages that it maps: on a corrupt file it panics, at times in a goroutine of its
// own where no caller can recover, or walks a cycle for ever, and a file that is too
// short ends the process by a signal. What passes here is safe to open.
type pageWalker struct {
	reader  io.ReaderAt
	meta    boltMeta
	visited []uint64 // one bit a page: none may be reached twice
	visit   func(bucket string, key, value []byte) error
}

// walkFile checks every page that is in use. It calls visit for each record in the
// order of buckets and keys, and before the records of a bucket once with a nil key.
// Keys and values stay valid after the call.
func walkFile(reader io.ReaderAt, size int64, visit func(bucket string, key, value []byte) error) (boltMeta, error) {
	meta, err := newestMeta(reader, size)
	if err != nil {
		return meta, err
	}
	if meta.highWaterMark > uint64(size/meta.pageSize) {
		return meta, corrupt("meta", "%d pages in use, room for %d", meta.highWaterMark, size/meta.pageSize)
	}
	w := &pageWalker{reader: reader, meta: meta, visited: make([]uint64, meta.highWaterMark/64+1), visit: visit}
	if err := w.walkBucket("", meta.root, 0); err != nil {
		return meta, err
	}
	return meta, w.checkFreelist()
}

// isVisited tells whether a page was reached before.
func (w *pageWalker) isVisited(id uint64) bool { return w.visited[id/64]&(1<<(id%64)) != 0 }

// markVisited takes note that a page was reached.
func (w *pageWalker) markVisited(id uint64) { w.visited[id/64] |= 1 << (id % 64) }

// checkFreelist checks the list of free pages. Only files that were written with
// other options have one; bbolt would trust it, and overwrite what it names.
func (w *pageWalker) checkFreelist() error {
	if w.meta.freelist == noFreelist {
		return nil
	}
	page, err := w.readPage(w.meta.freelist)
	if err != nil {
		return err
	}
	order := binary.LittleEndian
	if order.Uint16(page[8:]) != freelistPage {
		return corrupt("page", "%d is no list of free pages", w.meta.freelist)
	}
	ids, count := page[pageHeaderSize:], uint64(order.Uint16(page[10:]))
	if count == freelistCountOverflow && len(ids) >= 8 {
		count, ids = order.Uint64(ids), ids[8:]
	}
	if count > uint64(len(ids)/8) {
		return corrupt("page", "%d free pages don't fit", count)
	}
	for i := range count {
		id := order.Uint64(ids[8*i:])
		if id < 2 || id >= w.meta.highWaterMark || w.isVisited(id) {
			return corrupt("page", "%d is in use and free", id)
		}
		w.markVisited(id)
	}
	return nil
}

// readAt fills a buffer. A file that ends too early is a *CorruptError, any other
// failure an *UnavailableError.
func readAt(reader io.ReaderAt, buffer []byte, offset int64) error {
	_, err := reader.ReadAt(buffer, offset)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return corrupt("file", "ends before byte %d", offset+int64(len(buffer)))
	}
	if err != nil {
		return unavailable("read", err)
	}
	return nil
}

// newestMeta chooses among the two meta pages as bbolt does: the valid one with the
// higher transaction ID. One that is not valid was torn by a loss of power before
// its sync, so that its transaction was never reported, and the other one is right.
// (A page that decays after its sync can't be told from that.) The older one can't
// be used instead if the tree of the newer one is corrupt: the newer one was written
// after its pages were synced, and what it holds may have been acknowledged.
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
		// The second meta page is at one page size, whatever that is.
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

// parseMeta decodes the meta of a meta page, and tells whether it is valid.
func parseMeta(b []byte) (boltMeta, bool) {
	order := binary.LittleEndian
	checksum := fnv.New64a()
	_, _ = checksum.Write(b[:metaChecksumOffset])
	meta := boltMeta{pageSize: int64(order.Uint32(b[8:])), root: order.Uint64(b[16:]), freelist: order.Uint64(b[32:]), highWaterMark: order.Uint64(b[40:]), txid: order.Uint64(b[48:])}
	ok := order.Uint32(b) == boltMagic && order.Uint32(b[4:]) == boltVersion && order.Uint64(b[metaChecksumOffset:]) == checksum.Sum64() &&
		meta.pageSize >= minPageSize && meta.pageSize <= maxPageSize && bits.OnesCount64(uint64(meta.pageSize)) == 1
	return meta, ok
}

// readPage reads one page with its overflow pages and marks them as visited.
func (w *pageWalker) readPage(id uint64) ([]byte, error) {
	if id < 2 || id >= w.meta.highWaterMark {
		return nil, corrupt("page", "%d of %d", id, w.meta.highWaterMark)
	}
	header := make([]byte, pageHeaderSize)
	if err := readAt(w.reader, header, int64(id)*w.meta.pageSize); err != nil {
		return nil, err
	}
	order := binary.LittleEndian
	if got := order.Uint64(header); got != id {
		return nil, corrupt("page", "%d calls itself %d", id, got)
	}
	overflow := uint64(order.Uint32(header[12:]))
	if overflow >= w.meta.highWaterMark-id {
		return nil, corrupt("page", "%d runs past the end", id)
	}
	for i := id; i <= id+overflow; i++ {
		if w.isVisited(i) {
			return nil, corrupt("page", "%d is reached twice", i)
		}
		w.markVisited(i)
	}
	page := make([]byte, int64(overflow+1)*w.meta.pageSize)
	return page, readAt(w.reader, page, int64(id)*w.meta.pageSize)
}

// walkBucket checks a bucket from its root page.
func (w *pageWalker) walkBucket(bucket string, root uint64, depth int) error {
	if depth > maxBucketDepth {
		return corrupt("bucket", "nested too deep")
	}
	var last []byte
	return w.walkPage(bucket, root, nil, &last, depth)
}

// walkPage checks a page and what is below it. Each key must be above last; first is
// the key under which the parent names this page, and no key may be below it.
func (w *pageWalker) walkPage(bucket string, id uint64, first []byte, last *[]byte, depth int) error {
	page, err := w.readPage(id)
	if err != nil {
		return err
	}
	flags, count := binary.LittleEndian.Uint16(page[8:]), int(binary.LittleEndian.Uint16(page[10:]))
	if pageHeaderSize+count*elementSize > len(page) {
		return corrupt("page", "%d: %d elements don't fit", id, count)
	}
	switch flags {
	case leafPage:
		return w.walkLeaf(bucket, page, count, first, last, depth)
	case branchPage:
		return w.walkBranch(bucket, page, count, last, depth)
	}
	return corrupt("page", "%d: unexpected kind %#x", id, flags)
}

// walkBranch checks a branch page and the pages that it names.
func (w *pageWalker) walkBranch(bucket string, page []byte, count int, last *[]byte, depth int) error {
	order := binary.LittleEndian
	if count == 0 {
		return corrupt("page", "%d: a branch without children", order.Uint64(page))
	}
	var previous []byte
	for i := range count {
		offset := pageHeaderSize + i*elementSize
		key, err := slicePage(page, uint64(offset)+uint64(order.Uint32(page[offset:])), uint64(order.Uint32(page[offset+4:])))
		if err != nil {
			return err
		}
		if len(key) == 0 || i > 0 && bytes.Compare(key, previous) <= 0 {
			return corrupt("page", "%d: keys out of order", order.Uint64(page))
		}
		previous = key
		if err := w.walkPage(bucket, order.Uint64(page[offset+8:]), key, last, depth); err != nil {
			return err
		}
	}
	return nil
}

// walkLeaf checks a leaf page and visits its records and nested buckets.
func (w *pageWalker) walkLeaf(bucket string, page []byte, count int, first []byte, last *[]byte, depth int) error {
	order := binary.LittleEndian
	for i := range count {
		offset := pageHeaderSize + i*elementSize
		start, keySize, valueSize := uint64(offset)+uint64(order.Uint32(page[offset+4:])), uint64(order.Uint32(page[offset+8:])), uint64(order.Uint32(page[offset+12:]))
		key, err := slicePage(page, start, keySize)
		if err != nil {
			return err
		}
		value, err := slicePage(page, start+keySize, valueSize)
		if err != nil {
			return err
		}
		if keySize == 0 || bytes.Compare(key, first) < 0 || bytes.Compare(key, *last) <= 0 {
			return corrupt("page", "%d: keys out of order", order.Uint64(page))
		}
		*last = key
		if order.Uint32(page[offset:])&bucketLeafFlag != 0 {
			if err := w.walkNestedBucket(bucket+"/"+string(key), value, depth); err != nil {
				return err
			}
			continue
		}
		if err := w.visit(bucket, key, value); err != nil {
			return err
		}
	}
	return nil
}

// walkNestedBucket checks a bucket inside a bucket, which has a root page or, if it
// is small, a page inside the value.
func (w *pageWalker) walkNestedBucket(name string, value []byte, depth int) error {
	if len(value) < bucketHeaderSize {
		return corrupt("bucket", "%q: short header", name)
	}
	if root := binary.LittleEndian.Uint64(value); root != 0 {
		if err := w.visit(name, nil, nil); err != nil {
			return err
		}
		return w.walkBucket(name, root, depth+1)
	}
	page := value[bucketHeaderSize:]
	if len(page) < pageHeaderSize {
		return corrupt("bucket", "%q: short page", name)
	}
	flags, count := binary.LittleEndian.Uint16(page[8:]), int(binary.LittleEndian.Uint16(page[10:]))
	if flags != leafPage || pageHeaderSize+count*elementSize > len(page) || depth >= maxBucketDepth {
		return corrupt("bucket", "%q: not a page", name)
	}
	if err := w.visit(name, nil, nil); err != nil {
		return err
	}
	var last []byte
	return w.walkLeaf(name, page, count, nil, &last, depth+1)
}

// slicePage returns size bytes of a page from start on.
func slicePage(page []byte, start, size uint64) ([]byte, error) {
	if start > uint64(len(page)) || size > uint64(len(page))-start {
		return nil, corrupt("page", "a record of %d bytes at %d runs past the page", size, start)
	}
	return page[start : start+size : start+size], nil
}
