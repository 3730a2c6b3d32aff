// Package mpdelta encodes a document as its difference from another one that the reader has.
package mpdelta

import (
	"bytes"
	"encoding/binary"

	"mustardpost.org/core/common/mperror"
)

const (
	// blockBytes is the shortest run of bytes that is copied from the other document.
	blockBytes = 32
	// multiplier is that of the rolling hash of a block, and outgoing its value for the byte that
	// leaves the block.
	multiplier uint64 = 0x9E3779B97F4A7C15
)

var outgoing = func() uint64 {
	m := uint64(1)
	for range blockBytes {
		m *= multiplier
	}
	return m
}()

// A delta is a sequence of steps. A step begins with a number whose lowest bit says whether bytes are
// copied from base, and whose other bits say how many. Copied bytes are given by where they begin in
// base, relative to the end of those copied before; other bytes follow as they are.
const copies = 1

// Make returns a delta from which Apply makes next, given base.
func Make(base, next []byte) []byte {
	e := encoder{base: base, next: next, index: indexBlocks(base)}
	for pos := 0; pos+blockBytes <= len(next); {
		if !e.isHashed {
			e.hash, e.isHashed = hashBlock(next[pos:]), true
		}
		if from, ok := e.find(pos); ok {
			pos = e.copyRun(from, pos)
			continue
		}
		if pos+blockBytes < len(next) {
			e.hash = e.hash*multiplier + uint64(next[pos+blockBytes]) - outgoing*uint64(next[pos])
		}
		pos++
	}
	e.insert(len(next))
	return e.out
}

// encoder makes a delta.
type encoder struct {
	base, next []byte
	// index maps the hash of each block of base to where the first such block begins.
	index map[uint64]int
	out   []byte
	// written is how much of next the steps in out make, and copied where in base the last copied
	// bytes end.
	written, copied int
	// hash is that of the block at the present position, if isHashed is set.
	hash     uint64
	isHashed bool
}

func indexBlocks(base []byte) map[uint64]int {
	index := make(map[uint64]int, len(base)/blockBytes)
	for pos := 0; pos+blockBytes <= len(base); pos += blockBytes {
		h := hashBlock(base[pos:])
		if _, ok := index[h]; !ok {
			index[h] = pos
		}
	}
	return index
}

func hashBlock(data []byte) uint64 {
	h := uint64(0)
	for _, b := range data[:blockBytes] {
		h = h*multiplier + uint64(b)
	}
	return h
}

// find returns where base has the block of next at pos. It prefers the place that follows the bytes
// copied last, if as much was inserted as is skipped there.
func (e *encoder) find(pos int) (int, bool) {
	block := e.next[pos : pos+blockBytes]
	if from := e.copied + pos - e.written; from+blockBytes <= len(e.base) && bytes.Equal(e.base[from:from+blockBytes], block) {
		return from, true
	}
	from, ok := e.index[e.hash]
	return from, ok && bytes.Equal(e.base[from:from+blockBytes], block)
}

// copyRun adds the steps up to the end of the run of equal bytes around the block, and returns where
// in next it ends.
func (e *encoder) copyRun(from, pos int) int {
	for from > 0 && pos > e.written && e.base[from-1] == e.next[pos-1] {
		from--
		pos--
	}
	end := blockBytes
	for from+end < len(e.base) && pos+end < len(e.next) && e.base[from+end] == e.next[pos+end] {
		end++
	}
	e.insert(pos)
	e.out = binary.AppendUvarint(e.out, uint64(end)<<1|copies)
	e.out = binary.AppendVarint(e.out, int64(from-e.copied))
	e.written, e.copied, e.isHashed = pos+end, from+end, false
	return pos + end
}

// insert adds a step for the bytes of next up to end that no step makes yet.
func (e *encoder) insert(end int) {
	if end == e.written {
		return
	}
	e.out = binary.AppendUvarint(e.out, uint64(end-e.written)<<1)
	e.out = append(e.out, e.next[e.written:end]...)
	e.written = end
}

// Apply returns the document that the delta was made for. It returns an error that wraps ErrInvalid if
// the delta does not fit base, or the document would be longer than limit bytes.
func Apply(base, delta []byte, limit int) ([]byte, error) {
	var out []byte
	copied := int64(0)
	for len(delta) > 0 {
		step, n := binary.Uvarint(delta)
		size := int64(step >> 1)
		if n <= 0 || size > int64(limit-len(out)) {
			return nil, mperror.Wrap(mperror.ErrInvalid, "delta: step of %d bytes after %d", size, len(out))
		}
		delta = delta[n:]
		if step&copies == 0 {
			if size > int64(len(delta)) {
				return nil, mperror.Wrap(mperror.ErrInvalid, "delta: ends within %d bytes", size)
			}
			out = append(out, delta[:size]...)
			delta = delta[size:]
			continue
		}
		skip, n := binary.Varint(delta)
		from := copied + skip
		if n <= 0 || from < 0 || from > int64(len(base)) || size > int64(len(base))-from {
			return nil, mperror.Wrap(mperror.ErrInvalid, "delta: copies %d bytes at %d of %d", size, from, len(base))
		}
		delta = delta[n:]
		out = append(out, base[from:from+size]...)
		copied = from + size
	}
	return out, nil
}
