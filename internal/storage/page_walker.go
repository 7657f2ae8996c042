package storage

import (
	"bytes"
	"encoding/binary"
	"io"
)

// bitsPerWord is the number of pages that one element of pageWalker.visited covers.
const bitsPerWord = 64

// pageWalker traverses a bbolt file without using bbolt. It is needed because bbolt trusts the
// pages that it maps. On a corrupt file it panics, sometimes in a goroutine of its
// own where the caller cannot recover, or follows a cycle of pages forever. A file that is too
// short ends the process with a signal. A file that passes this check is safe to open with bbolt.
type pageWalker struct {
	reader  io.ReaderAt
	meta    boltMeta
	visited []uint64 // one bit per page; no page may be reached twice
	visit   func(bucket string, key, value []byte) error
}

// walkFile verifies every page that is in use. It calls visit for each record in the
// order of buckets and keys, and once with a nil key before the records of each bucket,
// except the root bucket. Keys and values stay valid after the call.
func walkFile(reader io.ReaderAt, size int64, visit func(bucket string, key, value []byte) error) (boltMeta, error) {
	meta, err := newestMeta(reader, size)
	if err != nil {
		return meta, err
	}
	if meta.highWaterMark > uint64(size/meta.pageSize) {
		return meta, corrupt("meta", "%d pages in use, but the file has %d", meta.highWaterMark, size/meta.pageSize)
	}
	w := &pageWalker{reader: reader, meta: meta, visited: make([]uint64, meta.highWaterMark/bitsPerWord+1), visit: visit}
	if err := w.walkBucket("", meta.root, 0); err != nil {
		return meta, err
	}
	return meta, w.checkFreelist()
}

// isVisited reports whether a page was already reached.
func (w *pageWalker) isVisited(id uint64) bool {
	return w.visited[id/bitsPerWord]&(1<<(id%bitsPerWord)) != 0
}

// markVisited records that a page was reached.
func (w *pageWalker) markVisited(id uint64) { w.visited[id/bitsPerWord] |= 1 << (id % bitsPerWord) }

// checkFreelist verifies the list of free pages. Only files that were written with
// other options have one. bbolt would trust it and overwrite the pages that it lists.
func (w *pageWalker) checkFreelist() error {
	if w.meta.freelist == noFreelist {
		return nil
	}
	p, err := w.readPage(w.meta.freelist)
	if err != nil {
		return err
	}
	order := binary.LittleEndian
	if p.flags() != freelistPage {
		return corrupt("page", "%d is not a freelist page", w.meta.freelist)
	}
	ids, count := p[pageHeaderSize:], uint64(p.count())
	if count == freelistCountOverflow && len(ids) >= pageIDSize {
		count, ids = order.Uint64(ids), ids[pageIDSize:]
	}
	if count > uint64(len(ids)/pageIDSize) {
		return corrupt("page", "freelist of %d pages runs past the end of its page", count)
	}
	for i := range count {
		id := order.Uint64(ids[pageIDSize*i:])
		if id < metaPages || id >= w.meta.highWaterMark || w.isVisited(id) {
			return corrupt("page", "freelist entry %d is invalid, duplicate or in use", id)
		}
		w.markVisited(id)
	}
	return nil
}

// readPage reads one page with its overflow pages and marks them as visited.
func (w *pageWalker) readPage(id uint64) (page, error) {
	if id < metaPages || id >= w.meta.highWaterMark {
		return nil, corrupt("page", "%d is out of range of %d pages", id, w.meta.highWaterMark)
	}
	header := make(page, pageHeaderSize)
	if err := readAt(w.reader, header, int64(id)*w.meta.pageSize); err != nil {
		return nil, err
	}
	if header.id() != id {
		return nil, corrupt("page", "%d has the ID %d in its header", id, header.id())
	}
	overflow := header.overflow()
	if overflow >= w.meta.highWaterMark-id {
		return nil, corrupt("page", "%d has overflow pages past the end of the file", id)
	}
	for i := id; i <= id+overflow; i++ {
		if w.isVisited(i) {
			return nil, corrupt("page", "%d is referenced twice", i)
		}
		w.markVisited(i)
	}
	p := make(page, int64(overflow+1)*w.meta.pageSize)
	return p, readAt(w.reader, p, int64(id)*w.meta.pageSize)
}

// walkBucket verifies the pages of a bucket, starting at its root page.
func (w *pageWalker) walkBucket(bucket string, root uint64, depth int) error {
	if depth > maxBucketDepth {
		return corrupt("bucket", "nested too deeply")
	}
	var last []byte
	return w.walkPage(bucket, root, nil, &last, depth)
}

// walkPage verifies a page and its descendants. Each key must be greater than last. first is
// the key of this page in its parent; if it is a leaf page, none of its keys may be less than first.
func (w *pageWalker) walkPage(bucket string, id uint64, first []byte, last *[]byte, depth int) error {
	p, err := w.readPage(id)
	if err != nil {
		return err
	}
	if !p.hasAllElements() {
		return corrupt("page", "%d: %d elements run past the end of the page", id, p.count())
	}
	switch p.flags() {
	case leafPage:
		return w.walkLeaf(bucket, p, first, last, depth)
	case branchPage:
		return w.walkBranch(bucket, p, last, depth)
	}
	return corrupt("page", "%d: unexpected flags %#x", id, p.flags())
}

// walkBranch verifies a branch page and its child pages.
func (w *pageWalker) walkBranch(bucket string, p page, last *[]byte, depth int) error {
	if p.count() == 0 {
		return corrupt("page", "%d: branch page without children", p.id())
	}
	var previous []byte
	for i := range p.count() {
		key, child, err := p.branchElement(i)
		if err != nil {
			return err
		}
		if len(key) == 0 || i > 0 && bytes.Compare(key, previous) <= 0 {
			return corrupt("page", "%d: keys out of order", p.id())
		}
		previous = key
		if err := w.walkPage(bucket, child, key, last, depth); err != nil {
			return err
		}
	}
	return nil
}

// walkLeaf verifies a leaf page and visits its records and nested buckets.
func (w *pageWalker) walkLeaf(bucket string, p page, first []byte, last *[]byte, depth int) error {
	for i := range p.count() {
		key, value, isBucket, err := p.leafElement(i)
		if err != nil {
			return err
		}
		if len(key) == 0 || bytes.Compare(key, first) < 0 || bytes.Compare(key, *last) <= 0 {
			return corrupt("page", "%d: keys out of order", p.id())
		}
		*last = key
		if isBucket {
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

// walkNestedBucket verifies a bucket inside a bucket. It has a root page or, if it
// is small, a page stored inline in its value.
func (w *pageWalker) walkNestedBucket(name string, value []byte, depth int) error {
	if len(value) < bucketHeaderSize {
		return corrupt("bucket", "%q: header is truncated", name)
	}
	if root := binary.LittleEndian.Uint64(value); root != 0 {
		if err := w.visit(name, nil, nil); err != nil {
			return err
		}
		return w.walkBucket(name, root, depth+1)
	}
	p := page(value[bucketHeaderSize:])
	if len(p) < pageHeaderSize {
		return corrupt("bucket", "%q: inline page is truncated", name)
	}
	if p.flags() != leafPage || !p.hasAllElements() || depth >= maxBucketDepth {
		return corrupt("bucket", "%q: inline page is invalid", name)
	}
	if err := w.visit(name, nil, nil); err != nil {
		return err
	}
	var last []byte
	return w.walkLeaf(name, p, nil, &last, depth+1)
}
