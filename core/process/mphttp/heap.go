package mphttp

import (
	"sync"

	"github.com/lesismal/nbio/mempool"
)

// heap is an allocator without a pool. The default one of nbio keeps buffers of all sizes in one pool, so
// that a connection of which a byte has arrived may hold the buffer of another one's body, which the
// budget does not count.
type heap struct{}

var _ mempool.Allocator = heap{}

// useHeap lets all servers of the process allocate from the heap.
var useHeap = sync.OnceFunc(func() { mempool.DefaultMemPool = heap{} })

// minCapacity is the capacity of the shortest buffers. A body in chunks of one byte would have one buffer for
// each, of many times its size.
const minCapacity = 512

// Malloc returns a new buffer.
func (heap) Malloc(size int) *[]byte {
	b := make([]byte, size, max(size, minCapacity))
	return &b
}

// Realloc changes the length of a buffer.
func (h heap) Realloc(b *[]byte, size int) *[]byte {
	if size <= cap(*b) {
		*b = (*b)[:size]
		return b
	}
	grown := h.Malloc(size)
	copy(*grown, *b)
	return grown
}

// Append appends to a buffer, which doubles when it is full. The built-in function would grow a long one by a
// quarter, which leaves several times its length to the garbage collector.
func (h heap) Append(b *[]byte, more ...byte) *[]byte {
	h.grow(b, len(more))
	*b = append(*b, more...)
	return b
}

// AppendString appends to a buffer.
func (h heap) AppendString(b *[]byte, more string) *[]byte {
	h.grow(b, len(more))
	*b = append(*b, more...)
	return b
}

func (heap) grow(b *[]byte, n int) {
	if need := len(*b) + n; need > cap(*b) {
		grown := make([]byte, len(*b), max(need, 2*cap(*b)))
		copy(grown, *b)
		*b = grown
	}
}

// Free leaves a buffer to the garbage collector. Parsers of rejected connections still point to it.
func (heap) Free(b *[]byte) { *b = nil }
