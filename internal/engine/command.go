package engine

import "strconv"

// Request is a request that is sent to an engine.
type Request struct {
	ID             string
	Class          string
	TimeoutMS      int64 // time until the deadline, in milliseconds
	MemoryMB       int64 // memory grant; 0: the engine chooses
	Priority       int
	IdempotencyKey string // as sent by the client; engines recognize retries by it; empty: none
	Statement      []byte
}

// DefaultPriority is the priority of a request that sets none. AppendRequest leaves it out.
const DefaultPriority = 1

// AppendRequest appends the command that sends a request.
func AppendRequest(dst []byte, request Request) []byte {
	dst = append(append(dst, "ASK "...), request.ID...)
	dst = append(append(dst, " lane="...), request.Class...)
	dst = strconv.AppendInt(append(dst, ",ttl="...), request.TimeoutMS, 10)
	if request.MemoryMB > 0 {
		dst = strconv.AppendInt(append(dst, ",pool="...), request.MemoryMB, 10)
	}
	if request.Priority != DefaultPriority {
		dst = strconv.AppendInt(append(dst, ",band="...), int64(request.Priority), 10)
	}
	if request.IdempotencyKey != "" {
		dst = append(append(dst, ",dedupe="...), request.IdempotencyKey...)
	}
	dst = strconv.AppendInt(append(dst, ' '), int64(len(request.Statement)), 10)
	dst = append(append(dst, crlf...), request.Statement...)
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

// AppendRelease appends the command that releases a result, after which none of its pages can be fetched.
func AppendRelease(dst []byte, id string) []byte {
	return append(appendCommand(dst, "FREE", id), crlf...)
}

// AppendPriority appends the command that changes the priority of a request.
func AppendPriority(dst []byte, id string, n int) []byte { return appendNumbered(dst, "PRIO", id, n) }

// AppendFetchPage appends the command that fetches a page of a result.
func AppendFetchPage(dst []byte, id string, n int) []byte { return appendNumbered(dst, "NEXT", id, n) }

// AppendProbe appends a health check. The answer contains the tag as its id, and a load report.
func AppendProbe(dst []byte, tag string) []byte {
	return append(appendCommand(dst, "INFO", tag), crlf...)
}
