package disk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"io"
	"math/bits"
)

// Layout of a bbolt file, version 2, as its documentation and its own checker
// give it. The numbers are little-endian on all machines that we run on.
const (
	boltMagic      = 0xED0CDAED
	boltVersion    = 2
	noFreelist     = ^uint64(0)
	pageHeader     = 16
	elementSize    = 16
	bucketHeader   = 16
	metaSummed     = 56 // bytes of the meta before its checksum
	metaSize       = 64
	branchPage     = 0x01
	leafPage       = 0x02
	freelistPage   = 0x10
	longFreelist   = 0xFFFF // the count stands in the first place of the list
	bucketElement  = 0x01
	pageSizeLeast  = 1 << 10
	pageSizeMost   = 1 << 24
	birthPages     = 4 // bbolt writes a new file with so many
	birthPageSize  = 4 << 10
	maxBucketDepth = 4
)

// boltMeta is the newest valid meta page.
type boltMeta struct {
	pageSize int64
	root     uint64
	freelist uint64
	high     uint64 // pages from here on are not in use
	txid     uint64
}

// pages walks a bbolt file without bbolt. It exists because bbolt trusts the
// pages it maps: on a torn file it panics, at times in a task of its own that
// no caller can recover, or walks a cycle for ever, and a file that is too
// short ends the process by a signal. What passes here is safe to open.
type pages struct {
	r    io.ReaderAt
	size int64
	meta boltMeta
	seen []uint64 // one bit a page: none may be reached twice
	item func(bucket string, key, value []byte) error
}

// walk checks every page that is in use and hands out each record in order of
// its bucket and key. Keys and values stay valid.
func walk(r io.ReaderAt, size int64, item func(bucket string, key, value []byte) error) (boltMeta, error) {
	m, err := newestMeta(r, size)
	if err != nil {
		return m, err
	}
	if m.high > uint64(size/m.pageSize) {
		return m, torn("meta", "%d pages in use, room for %d", m.high, size/m.pageSize)
	}
	p := &pages{r: r, size: size, meta: m, seen: make([]uint64, m.high/64+1), item: item}
	if err := p.tree("", m.root, 0); err != nil {
		return m, err
	}
	return m, p.free()
}

// free checks the list of free pages, which files written by other programs
// with bbolt have: bbolt would trust it, and write over what it names.
func (p *pages) free() error {
	if p.meta.freelist == noFreelist {
		return nil
	}
	b, err := p.page(p.meta.freelist)
	if err != nil {
		return err
	}
	le := binary.LittleEndian
	if le.Uint16(b[8:]) != freelistPage {
		return torn("page", "%d is no list of free pages", p.meta.freelist)
	}
	ids, count := b[pageHeader:], uint64(le.Uint16(b[10:]))
	if count == longFreelist && len(ids) >= 8 {
		count, ids = le.Uint64(ids), ids[8:]
	}
	if count > uint64(len(ids)/8) {
		return torn("page", "%d free pages don't fit", count)
	}
	for i := range count {
		id := le.Uint64(ids[8*i:])
		if id < 2 || id >= p.meta.high || p.seen[id/64]&(1<<(id%64)) != 0 {
			return torn("page", "%d is in use and free", id)
		}
		p.seen[id/64] |= 1 << (id % 64)
	}
	return nil
}

func readAt(r io.ReaderAt, b []byte, at int64) error {
	_, err := r.ReadAt(b, at)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return torn("file", "ends before byte %d", at+int64(len(b)))
	}
	if err != nil {
		return unavailable("read", err)
	}
	return nil
}

// newestMeta chooses as bbolt does: the valid one with the higher number. One
// that is not valid was torn by a loss of power before its sync, so that nobody
// was told of its transaction, and the other one is right. (A page that rots
// after its sync can't be told from that.) The older one is no way back if the
// tree of the newer one is bad: the newer one was written after its pages were
// synced, and what it holds may have been acknowledged.
func newestMeta(r io.ReaderAt, size int64) (boltMeta, error) {
	var best boltMeta
	found := false
	try := func(at int64) error {
		if at+pageHeader+metaSize > size {
			return nil
		}
		b := make([]byte, pageHeader+metaSize)
		if err := readAt(r, b, at); err != nil {
			return err
		}
		m, ok := parseMeta(b[pageHeader:])
		// The second meta stands one page in, whatever the size of a page is.
		if ok && (at == 0 || at == m.pageSize) && (!found || m.txid > best.txid) {
			best, found = m, true
		}
		return nil
	}
	if err := try(0); err != nil {
		return best, err
	}
	for at := int64(pageSizeLeast); at <= pageSizeMost; at *= 2 {
		if err := try(at); err != nil {
			return best, err
		}
	}
	if !found {
		return best, torn("meta", "neither meta page is valid")
	}
	return best, nil
}

func parseMeta(b []byte) (boltMeta, bool) {
	le := binary.LittleEndian
	sum := fnv.New64a()
	_, _ = sum.Write(b[:metaSummed])
	m := boltMeta{pageSize: int64(le.Uint32(b[8:])), root: le.Uint64(b[16:]), freelist: le.Uint64(b[32:]), high: le.Uint64(b[40:]), txid: le.Uint64(b[48:])}
	ok := le.Uint32(b) == boltMagic && le.Uint32(b[4:]) == boltVersion && le.Uint64(b[metaSummed:]) == sum.Sum64() &&
		m.pageSize >= pageSizeLeast && m.pageSize <= pageSizeMost && bits.OnesCount64(uint64(m.pageSize)) == 1
	return m, ok
}

// page reads one page with its overflow and marks it as reached.
func (p *pages) page(id uint64) ([]byte, error) {
	if id < 2 || id >= p.meta.high {
		return nil, torn("page", "%d of %d", id, p.meta.high)
	}
	head := make([]byte, pageHeader)
	if err := readAt(p.r, head, int64(id)*p.meta.pageSize); err != nil {
		return nil, err
	}
	le := binary.LittleEndian
	if got := le.Uint64(head); got != id {
		return nil, torn("page", "%d calls itself %d", id, got)
	}
	over := uint64(le.Uint32(head[12:]))
	if over >= p.meta.high-id {
		return nil, torn("page", "%d runs past the end", id)
	}
	for i := id; i <= id+over; i++ {
		if p.seen[i/64]&(1<<(i%64)) != 0 {
			return nil, torn("page", "%d is reached twice", i)
		}
		p.seen[i/64] |= 1 << (i % 64)
	}
	b := make([]byte, int64(over+1)*p.meta.pageSize)
	return b, readAt(p.r, b, int64(id)*p.meta.pageSize)
}

// tree checks a bucket from its root page.
func (p *pages) tree(bucket string, root uint64, depth int) error {
	if depth > maxBucketDepth {
		return torn("bucket", "nested too deep")
	}
	var last []byte
	return p.node(bucket, root, nil, &last, depth)
}

// node checks a page and what is below it. Each key must be above last; first
// is the key under which the parent knows this page.
func (p *pages) node(bucket string, id uint64, first []byte, last *[]byte, depth int) error {
	b, err := p.page(id)
	if err != nil {
		return err
	}
	flags, count := binary.LittleEndian.Uint16(b[8:]), int(binary.LittleEndian.Uint16(b[10:]))
	if pageHeader+count*elementSize > len(b) {
		return torn("page", "%d: %d elements don't fit", id, count)
	}
	switch flags {
	case leafPage:
		return p.leaf(bucket, b, count, first, last, depth)
	case branchPage:
		return p.branch(bucket, b, count, last, depth)
	}
	return torn("page", "%d: unexpected kind %#x", id, flags)
}

func (p *pages) branch(bucket string, b []byte, count int, last *[]byte, depth int) error {
	le := binary.LittleEndian
	if count == 0 {
		return torn("page", "%d: a branch without children", le.Uint64(b))
	}
	var before []byte
	for i := range count {
		at := pageHeader + i*elementSize
		key, err := part(b, uint64(at)+uint64(le.Uint32(b[at:])), uint64(le.Uint32(b[at+4:])))
		if err != nil {
			return err
		}
		if len(key) == 0 || i > 0 && bytes.Compare(key, before) <= 0 {
			return torn("page", "%d: keys out of order", le.Uint64(b))
		}
		before = key
		if err := p.node(bucket, le.Uint64(b[at+8:]), key, last, depth); err != nil {
			return err
		}
	}
	return nil
}

func (p *pages) leaf(bucket string, b []byte, count int, first []byte, last *[]byte, depth int) error {
	le := binary.LittleEndian
	for i := range count {
		at := pageHeader + i*elementSize
		from, ks, vs := uint64(at)+uint64(le.Uint32(b[at+4:])), uint64(le.Uint32(b[at+8:])), uint64(le.Uint32(b[at+12:]))
		key, err := part(b, from, ks)
		if err != nil {
			return err
		}
		value, err := part(b, from+ks, vs)
		if err != nil {
			return err
		}
		if ks == 0 || bytes.Compare(key, first) < 0 || bytes.Compare(key, *last) <= 0 {
			return torn("page", "%d: keys out of order", le.Uint64(b))
		}
		*last = key
		if le.Uint32(b[at:])&bucketElement != 0 {
			if err := p.nested(bucket+"/"+string(key), value, depth); err != nil {
				return err
			}
			continue
		}
		if err := p.item(bucket, key, value); err != nil {
			return err
		}
	}
	return nil
}

// nested checks a bucket inside a bucket: by its root, or in the value itself.
func (p *pages) nested(name string, value []byte, depth int) error {
	if len(value) < bucketHeader {
		return torn("bucket", "%q: short header", name)
	}
	if root := binary.LittleEndian.Uint64(value); root != 0 {
		if err := p.item(name, nil, nil); err != nil {
			return err
		}
		return p.tree(name, root, depth+1)
	}
	b := value[bucketHeader:]
	if len(b) < pageHeader {
		return torn("bucket", "%q: short page", name)
	}
	flags, count := binary.LittleEndian.Uint16(b[8:]), int(binary.LittleEndian.Uint16(b[10:]))
	if flags != leafPage || pageHeader+count*elementSize > len(b) || depth >= maxBucketDepth {
		return torn("bucket", "%q: not a page", name)
	}
	if err := p.item(name, nil, nil); err != nil {
		return err
	}
	var last []byte
	return p.leaf(name, b, count, nil, &last, depth+1)
}

// part cuts n bytes at from out of a page.
func part(b []byte, from, n uint64) ([]byte, error) {
	if from > uint64(len(b)) || n > uint64(len(b))-from {
		return nil, torn("page", "a record of %d bytes at %d runs past the page", n, from)
	}
	return b[from : from+n : from+n], nil
}
