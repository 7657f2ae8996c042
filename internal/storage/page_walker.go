package storage

import (
	"bytes"
	"encoding/binary"
	"io"
)

// bitsPerWord is the number of pages that one element of pageWalker.visited stands for.
const bitsPerWord = 64

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
	w := &pageWalker{reader: reader, meta: meta, visited: make([]uint64, meta.highWaterMark/bitsPerWord+1), visit: visit}
	if err := w.walkBucket("", meta.root, 0); err != nil {
		return meta, err
	}
	return meta, w.checkFreelist()
}

// isVisited reports whether a page was reached before.
func (w *pageWalker) isVisited(id uint64) bool {
	return w.visited[id/bitsPerWord]&(1<<(id%bitsPerWord)) != 0
}

// markVisited records that a page was reached.
func (w *pageWalker) markVisited(id uint64) { w.visited[id/bitsPerWord] |= 1 << (id % bitsPerWord) }

// checkFreelist checks the list of free pages. Only files that were written with
// other options have one; bbolt would trust it, and overwrite what it names.
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
		return corrupt("page", "%d is no list of free pages", w.meta.freelist)
	}
	ids, count := p[pageHeaderSize:], uint64(p.count())
	if count == freelistCountOverflow && len(ids) >= pageIDSize {
		count, ids = order.Uint64(ids), ids[pageIDSize:]
	}
	if count > uint64(len(ids)/pageIDSize) {
		return corrupt("page", "%d free pages don't fit", count)
	}
	for i := range count {
		id := order.Uint64(ids[pageIDSize*i:])
		if id < metaPages || id >= w.meta.highWaterMark || w.isVisited(id) {
			return corrupt("page", "%d is in use and free", id)
		}
		w.markVisited(id)
	}
	return nil
}

// readPage reads one page with its overflow pages and marks them as visited.
func (w *pageWalker) readPage(id uint64) (page, error) {
	if id < metaPages || id >= w.meta.highWaterMark {
		return nil, corrupt("page", "%d of %d", id, w.meta.highWaterMark)
	}
	header := make(page, pageHeaderSize)
	if err := readAt(w.reader, header, int64(id)*w.meta.pageSize); err != nil {
		return nil, err
	}
	if header.id() != id {
		return nil, corrupt("page", "%d calls itself %d", id, header.id())
	}
	overflow := header.overflow()
	if overflow >= w.meta.highWaterMark-id {
		return nil, corrupt("page", "%d runs past the end", id)
	}
	for i := id; i <= id+overflow; i++ {
		if w.isVisited(i) {
			return nil, corrupt("page", "%d is reached twice", i)
		}
		w.markVisited(i)
	}
	p := make(page, int64(overflow+1)*w.meta.pageSize)
	return p, readAt(w.reader, p, int64(id)*w.meta.pageSize)
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
	p, err := w.readPage(id)
	if err != nil {
		return err
	}
	if !p.hasAllElements() {
		return corrupt("page", "%d: %d elements don't fit", id, p.count())
	}
	switch p.flags() {
	case leafPage:
		return w.walkLeaf(bucket, p, first, last, depth)
	case branchPage:
		return w.walkBranch(bucket, p, last, depth)
	}
	return corrupt("page", "%d: unexpected kind %#x", id, p.flags())
}

// walkBranch checks a branch page and the pages that it names.
func (w *pageWalker) walkBranch(bucket string, p page, last *[]byte, depth int) error {
	if p.count() == 0 {
		return corrupt("page", "%d: a branch without children", p.id())
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

// walkLeaf checks a leaf page and visits its records and nested buckets.
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
	p := page(value[bucketHeaderSize:])
	if len(p) < pageHeaderSize {
		return corrupt("bucket", "%q: short page", name)
	}
	if p.flags() != leafPage || !p.hasAllElements() || depth >= maxBucketDepth {
		return corrupt("bucket", "%q: not a page", name)
	}
	if err := w.visit(name, nil, nil); err != nil {
		return err
	}
	var last []byte
	return w.walkLeaf(name, p, nil, &last, depth+1)
}
