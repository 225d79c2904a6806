package framebuf

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// Whatever is added and skipped, what is left is what was added and not skipped, in order; and the buffer holds its own copy.
func TestBytesAreThoseNotSkipped(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var b Buffer
	var want []byte
	for range 10_000 {
		piece := make([]byte, rng.IntN(200))
		for i := range piece {
			piece[i] = byte(rng.Uint32())
		}
		b.Add(piece)
		want = append(want, piece...)
		clear(piece)
		n := rng.IntN(len(want) + 1)
		b.Skip(n)
		want = want[n:]
		if !bytes.Equal(b.Bytes(), want) || b.Len() != len(want) {
			t.Fatalf("%d bytes are left, want %d", b.Len(), len(want))
		}
	}
}

// A buffer that has held a large message does not keep its memory once that is used and the next begins.
func TestLargeBufferIsGivenUp(t *testing.T) {
	var b Buffer
	b.Add(make([]byte, 100*maxIdleCapacity))
	b.Skip(b.Len())
	b.Add([]byte("next"))
	if n := cap(b.data); n > maxIdleCapacity {
		t.Errorf("%d bytes are kept, want %d at most", n, maxIdleCapacity)
	}
}

// Used bytes make room, also where the buffer is never empty: a stream of small messages does not grow it.
func TestUsedBytesMakeRoom(t *testing.T) {
	var b Buffer
	b.Add([]byte("x"))
	for range 100_000 {
		b.Add(make([]byte, 64))
		b.Skip(64)
	}
	if n := cap(b.data); n > maxIdleCapacity || b.Len() != 1 {
		t.Errorf("the buffer has grown to %d bytes for %d", n, b.Len())
	}
}
