package segment

import "encoding/binary"

// Meta is the payload of an Open record: the properties of a result that are known before its first chunk.
type Meta struct {
	Tenant   uint64   // hash of the tenant's name, stable across restarts
	Secret   [32]byte // SHA-256 of the handle's key
	Class    uint32
	Created  int64 // Unix microseconds
	LeaseEnd int64 // Unix microseconds
}

const metaSize = 8 + 32 + 4 + 8 + 8

// AppendMeta appends the payload of an Open record to dst.
func AppendMeta(dst []byte, m Meta) []byte {
	dst = binary.LittleEndian.AppendUint64(dst, m.Tenant)
	dst = append(dst, m.Secret[:]...)
	dst = binary.LittleEndian.AppendUint32(dst, m.Class)
	dst = binary.LittleEndian.AppendUint64(dst, uint64(m.Created))
	return binary.LittleEndian.AppendUint64(dst, uint64(m.LeaseEnd))
}

// ParseMeta decodes the payload of an Open record. ok is false if its length is wrong.
func ParseMeta(b []byte) (m Meta, ok bool) {
	if len(b) != metaSize {
		return m, false
	}
	m.Tenant = binary.LittleEndian.Uint64(b)
	copy(m.Secret[:], b[8:40])
	m.Class = binary.LittleEndian.Uint32(b[40:])
	m.Created = int64(binary.LittleEndian.Uint64(b[44:]))
	m.LeaseEnd = int64(binary.LittleEndian.Uint64(b[52:]))
	return m, true
}

// Summary is the payload of a Seal record: the totals of a complete result.
type Summary struct {
	Chunks uint32 // number of chunks
	Bytes  uint64 // total bytes of all chunks
}

const summarySize = 4 + 8

// AppendSummary appends the payload of a Seal record to dst.
func AppendSummary(dst []byte, s Summary) []byte {
	return binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint32(dst, s.Chunks), s.Bytes)
}

// ParseSummary decodes the payload of a Seal record. ok is false if its length is wrong.
func ParseSummary(b []byte) (s Summary, ok bool) {
	if len(b) != summarySize {
		return s, false
	}
	return Summary{binary.LittleEndian.Uint32(b), binary.LittleEndian.Uint64(b[4:])}, true
}

const leaseSize = 8

// AppendLease appends the payload of a Lease record to dst: the end of the lease in Unix microseconds.
func AppendLease(dst []byte, t int64) []byte { return binary.LittleEndian.AppendUint64(dst, uint64(t)) }

// ParseLease decodes the payload of a Lease record. ok is false if its length is wrong.
func ParseLease(b []byte) (t int64, ok bool) {
	if len(b) != leaseSize {
		return 0, false
	}
	return int64(binary.LittleEndian.Uint64(b)), true
}
