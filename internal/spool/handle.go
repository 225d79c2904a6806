package spool

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// Handle is what a client shows to read a result: which one, and the secret
// that proves that it may. Both halves are random and of 128 bits.
type Handle struct {
	ID  ID
	Key [16]byte
}

// HandleSize is the length of a Handle's text.
const HandleSize = 2 * (16 + 16)

// ErrInvalidHandle is returned for a text that is no handle.
var ErrInvalidHandle = errors.New("spool: no handle; it has 64 lower-case hex digits")

// String is the handle as clients carry it.
func (h Handle) String() string { return string(h.Append(nil)) }

// Append appends the handle's text.
func (h Handle) Append(dst []byte) []byte {
	return hex.AppendEncode(hex.AppendEncode(dst, h.ID[:]), h.Key[:])
}

// Secret is what is kept of the key: who reads the folder can't read results by it.
func (h Handle) Secret() Secret { return sha256.Sum256(h.Key[:]) }

// ParseHandle reads a handle.
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
