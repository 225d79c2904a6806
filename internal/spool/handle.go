package spool

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// Handle authorizes a client to read a result. It consists of the result's ID
// and a key. Both are random and have 128 bits.
type Handle struct {
	ID  ID
	Key [16]byte
}

// HandleSize is the length of a Handle's text in bytes.
const HandleSize = 2 * (16 + 16)

// ErrInvalidHandle is returned by ParseHandle for a text that is not a handle.
var ErrInvalidHandle = errors.New("spool: invalid handle: must have 64 lower-case hex digits")

// String returns the text of the handle that clients use: the ID and the key in lower-case hex.
func (h Handle) String() string { return string(h.Append(nil)) }

// Append appends the handle's text to dst.
func (h Handle) Append(dst []byte) []byte {
	return hex.AppendEncode(hex.AppendEncode(dst, h.ID[:]), h.Key[:])
}

// Secret returns the hash of the key. Only the hash is stored, so that handles can't be derived from the spool folder.
func (h Handle) Secret() Secret { return sha256.Sum256(h.Key[:]) }

// ParseHandle parses the text of a handle. It accepts lower-case hex digits only, so that each handle has exactly one
// text.
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
