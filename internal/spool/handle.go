package spool

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// Handle is what a client shows to read a result: the result's ID, and the key
// that proves the right to read it. Both are random and of 128 bits.
type Handle struct {
	ID  ID
	Key [16]byte
}

// HandleSize is the length of a Handle's text.
const HandleSize = 2 * (16 + 16)

// ErrInvalidHandle is returned for a text that is not a handle.
var ErrInvalidHandle = errors.New("spool: no handle; it has 64 lower-case hex digits")

// String is the handle as clients carry it.
func (h Handle) String() string { return string(h.Append(nil)) }

// Append appends the handle's text.
func (h Handle) Append(dst []byte) []byte {
	return hex.AppendEncode(hex.AppendEncode(dst, h.ID[:]), h.Key[:])
}

// Secret is what is stored of the key: who can read the folder can't derive handles from it.
func (h Handle) Secret() Secret { return sha256.Sum256(h.Key[:]) }

// ParseHandle reads a handle. It accepts lower-case digits only, so that a handle has one text.
func ParseHandle(text []byte) (h Handle, err error) {
	if len(text) != HandleSize {
		return h, ErrInvalidHandle
	}
	for _, c := range text {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return h, ErrInvalidHandle
		}
	}
	if _, err := hex.Decode(h.ID[:], text[:32]); err != nil {
		return h, ErrInvalidHandle
	}
	_, err = hex.Decode(h.Key[:], text[32:])
	return h, err
}
