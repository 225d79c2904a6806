package engine

import "strconv"

// Request is a request to an engine.
type Request struct {
	ID             string
	Class          string
	TimeoutMS      int64 // the deadline, in milliseconds from now
	MemoryMB       int64 // memory grant; 0: the engine chooses
	Priority       int
	IdempotencyKey string // by which engines recognize a retry, as the client sent it; empty: none
	Statement      []byte
}

// DefaultPriority is the priority of a request that names none.
const DefaultPriority = 1

// AppendRequest appends a request.
func AppendRequest(dst []byte, a Request) []byte {
	dst = append(append(dst, "ASK "...), a.ID...)
	dst = append(append(dst, " lane="...), a.Class...)
	dst = strconv.AppendInt(append(dst, ",ttl="...), a.TimeoutMS, 10)
	if a.MemoryMB > 0 {
		dst = strconv.AppendInt(append(dst, ",pool="...), a.MemoryMB, 10)
	}
	if a.Priority != DefaultPriority {
		dst = strconv.AppendInt(append(dst, ",band="...), int64(a.Priority), 10)
	}
	if a.IdempotencyKey != "" {
		dst = append(append(dst, ",dedupe="...), a.IdempotencyKey...)
	}
	dst = strconv.AppendInt(append(dst, ' '), int64(len(a.Statement)), 10)
	dst = append(append(dst, crlf...), a.Statement...)
	return append(dst, crlf...)
}

func appendCommand(dst []byte, verb, id string) []byte {
	return append(append(append(dst, verb...), ' '), id...)
}

func appendNumbered(dst []byte, verb, id string, n int) []byte {
	dst = append(appendCommand(dst, verb, id), ' ')
	return append(strconv.AppendInt(dst, int64(n), 10), crlf...)
}

// AppendCancel appends the command that cancels a request.
func AppendCancel(dst []byte, id string) []byte {
	return append(appendCommand(dst, "QUIT", id), crlf...)
}

// AppendRelease appends the command that releases a result: no further page is fetched.
func AppendRelease(dst []byte, id string) []byte {
	return append(appendCommand(dst, "FREE", id), crlf...)
}

// AppendPriority appends the command that changes the priority of a request.
func AppendPriority(dst []byte, id string, n int) []byte { return appendNumbered(dst, "PRIO", id, n) }

// AppendFetchPage appends the command that fetches a page of a result.
func AppendFetchPage(dst []byte, id string, n int) []byte { return appendNumbered(dst, "NEXT", id, n) }

// AppendProbe appends a health check. Its answer carries the tag and a load report.
func AppendProbe(dst []byte, tag string) []byte {
	return append(appendCommand(dst, "INFO", tag), crlf...)
}
