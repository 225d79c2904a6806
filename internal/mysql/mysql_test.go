package mysql

import (
	"bytes"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

func TestScanTables(t *testing.T) {
	for _, c := range []struct {
		text  string
		group int
		write bool
	}{
		{"SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day", 17, false},
		{"select * from `sales_17`.`orders`", 17, false},
		{"SELECT 'FROM sales_1.x' FROM sales_2.x", 2, false},
		{`SELECT 'it\'s FROM sales_1.x' FROM sales_2.x`, 2, false},
		{"SELECT 'it''s FROM sales_1.x' FROM sales_2.x", 2, false},
		{`SELECT "a ""FROM sales_1.x" FROM sales_2.x`, 2, false},
		{"SELECT /* FROM sales_1.x */ 1 FROM -- sales_3.y\n sales_2.x", 2, false},
		{"SELECT 1 # FROM sales_1.x\nFROM sales_2.x", 2, false},
		{"SELECT 1--1 FROM sales_2.x", 2, false},
		{"INSERT INTO sales_4.orders SELECT * FROM staging.in_9", 4, true},
		{"INSERT INTO staging.rows_9 SELECT * FROM sales_5.orders", 5, true},
		{"LOAD DATA INFILE 'sales_1.csv' INTO TABLE sales_6.orders", 6, true},
		{"SELECT o_3.day FROM staging.a JOIN sales_7.orders AS o_3 ON o_3.id = a.id", 7, false},
		{"SELECT * FROM staging.a, sales_8.orders", 8, false},
		{"SELECT * FROM staging . a , sales_8 . orders", 8, false},
		{"UPDATE sales_9.orders SET note = 1", 9, true},
		{"COPY sales_10.orders", 10, true},
		{"SELECT `a``b`.c FROM `x_11`.y", 11, false},
		{"SELECT 1", 0, false},
		{"SELECT * FROM sales.orders", 0, false},
		{"SELECT * FROM sales_99999999999.orders", 0, false},
		{"SELECT * FROM sales_12.orders /* never ends", 12, false},
		{"SELECT 'never ends FROM sales_1.x", 0, false},
	} {
		if group, write := scanTables([]byte(c.text)); group != c.group || write != c.write {
			t.Errorf("%s: got %d, %v, want %d, %v", c.text, group, write, c.group, c.write)
		}
	}
}

func TestParseQuery(t *testing.T) {
	const id = "9b1f03aa5c7e2d41"
	q, err := ParseQuery([]byte(" /* kind=report,req=" + id + ",timeout=1500,ms=820.0,need_mb=96,later=x */ SELECT 'a''b'  FROM s_3.t "))
	want := Fields{Class: "report", ID: id, TimeoutMS: 1500, WorkMS: 820, MemoryMB: 96, commentBytes: 73}
	if err != nil || q.Fields != want || q.TableGroup != 3 || string(q.Statement) != "SELECT 'a''b'  FROM s_3.t " {
		t.Fatalf("got %+v, %v", q, err)
	}
	for name, text := range map[string]string{
		"no comment":       "SELECT 1",
		"never ends":       "/* kind=report,req=" + id + ",timeout=1500 SELECT 1",
		"no statement":     "/* kind=report,req=" + id + ",timeout=1500 */ ",
		"missing":          "/* kind=report,req=" + id + " */ SELECT 1",
		"twice":            "/* kind=report,kind=point,req=" + id + ",timeout=1500 */ SELECT 1",
		"no value":         "/* kind,req=" + id + ",timeout=1500 */ SELECT 1",
		"short id":         "/* kind=report,req=9b1f,timeout=1500 */ SELECT 1",
		"id with spaces":   "/* kind=report,req=9b1f03aa5c7e2d4 ,timeout=1500 */ SELECT 1",
		"zero timeout":     "/* kind=report,req=" + id + ",timeout=0 */ SELECT 1",
		"negative timeout": "/* kind=report,req=" + id + ",timeout=-5 */ SELECT 1",
		"huge timeout":     "/* kind=report,req=" + id + ",timeout=99999999999999 */ SELECT 1",
		"memory is NaN":    "/* kind=report,req=" + id + ",timeout=5,need_mb=NaN */ SELECT 1",
		"memory is Inf":    "/* kind=report,req=" + id + ",timeout=5,need_mb=Inf */ SELECT 1",
	} {
		var e *Error
		if _, err := ParseQuery([]byte(text)); !errors.As(err, &e) || e.Code != CodeParse {
			t.Errorf("%s: got %v, want a parse error", name, err)
		}
	}
}

func TestParseKill(t *testing.T) {
	for _, c := range []struct {
		text      string
		session   uint32
		query, ok bool
	}{
		{"KILL QUERY 17", 17, true, true}, {"kill 17;", 17, false, true}, {"KILL CONNECTION 4294967295", 4294967295, false, true},
		{"KILL QUERY", 0, true, false}, {"KILL QUERY 1 2", 1, true, false}, {"SELECT 17", 0, false, false}, {"KILL -1", 0, false, false},
	} {
		if s, q, ok := ParseKill([]byte(c.text)); ok != c.ok || ok && (s != c.session || q != c.query) {
			t.Errorf("%s: got %d, %v, %v", c.text, s, q, ok)
		}
	}
}

// Packets are decoded however the stream is split into chunks, and the header of an oversized packet is an error before
// its payload arrives.
func TestDecoder(t *testing.T) {
	stream := append([]byte{3, 0, 0, 7, 'a', 'b', 'c'}, 0, 0, 0, 8, 1, 0, 0, 9, 'd')
	for size := 1; size <= len(stream); size++ {
		d := Decoder{MaxPayload: 10}
		var got []string
		for rest := stream; len(rest) > 0; {
			n := min(size, len(rest))
			d.Feed(rest[:n])
			rest = rest[n:]
			for {
				p, seq, ok, err := d.Next()
				if err != nil {
					t.Fatal(err)
				}
				if !ok {
					break
				}
				got = append(got, string(p)+string('0'+seq))
			}
		}
		if s := strings.Join(got, ","); s != "abc7,8,d9" {
			t.Errorf("chunks of %d bytes: %s", size, s)
		}
	}
	d := Decoder{MaxPayload: 10}
	d.Feed([]byte{11, 0, 0, 0})
	var e *Error
	if _, _, _, err := d.Next(); !errors.As(err, &e) || e.Code != CodePacketTooLarge {
		t.Errorf("a packet of 11 bytes: %v", err)
	}
}

func TestParseLogin(t *testing.T) {
	loginWithCapabilities := func(caps ...byte) []byte {
		return append(append([]byte{}, caps...), make([]byte, loginFixedBytes-len(caps))...)
	}
	validLogin := append(loginWithCapabilities(0x08, 0x82, 0x08, 0), "app\x00\x00main\x00mysql_native_password\x00"...)
	if l, err := ParseLogin(validLogin); err != nil || l != (Login{User: "app", Database: "main"}) {
		t.Errorf("got %+v, %v", l, err)
	}
	if l, err := ParseLogin(append(loginWithCapabilities(0, 0x82), "app\x00\x02xy"...)); err != nil || !l.Password {
		t.Errorf("a password: %+v, %v", l, err)
	}
	for n := range len(validLogin) - len("mysql_native_password\x00") {
		if _, err := ParseLogin(validLogin[:n]); err == nil {
			t.Errorf("a login truncated to %d bytes was accepted", n)
		}
	}
	for name, p := range map[string][]byte{
		"encryption":    loginWithCapabilities(0, 0x8a),
		"old protocol":  append(loginWithCapabilities(0, 0x80), "app\x00\x00"...),
		"long password": append(loginWithCapabilities(0, 0x82, 0x20), "app\x00\xfe\xff\xff\xff\xff\xff\xff\xff\xffxy"...),
	} {
		if _, err := ParseLogin(p); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}

// Rows of any size are encoded with correct lengths, and a row with a wrong number of columns is rejected.
func TestAppendRow(t *testing.T) {
	for _, n := range []int{0, 1, 250, 251, 252, 70000} {
		cell := strings.Repeat("x", n)
		out, next, ok := AppendRow(nil, 255, []byte("a\t"+cell+"\t"), 3)
		if !ok || next != 0 || out[3] != 255 {
			t.Fatalf("row of %d: %v, next %d", n, ok, next)
		}
		rest := out[headerSize:]
		for _, want := range []string{"a", cell, ""} {
			var s []byte
			if s, rest, ok = cutLenenc(rest); !ok || string(s) != want {
				t.Fatalf("row of %d: cell is wrong", n)
			}
		}
		if len(rest) > 0 || int(out[0])|int(out[1])<<8|int(out[2])<<16 != len(out)-headerSize {
			t.Errorf("row of %d: length is wrong", n)
		}
	}
	for _, line := range []string{"", "a\tb", "a\tb\tc\td"} {
		if _, _, ok := AppendRow(nil, 0, []byte(line), 3); ok {
			t.Errorf("%q was accepted as three columns", line)
		}
	}
}

func FuzzClient(f *testing.F) {
	f.Add([]byte{3, 0, 0, 7, 'a', 'b', 'c'})
	f.Add([]byte("/* kind=a,req=9b1f03aa5c7e2d41,timeout=5 */ SELECT 'x\\' FROM `a_1`.b -- c"))
	f.Add([]byte("\xff\xff\xff\x00\x03")) // header of a 16 MB packet
	f.Add([]byte("/* kind=a,req=9b1f03aa5c7e2d41,timeout=1e9,ms=NaN,need_mb=-Inf */ SELECT 1"))
	f.Add([]byte("/* kind=a,req=9b1f03aa5c7e2d41,timeout=99999999999999999999 */ SELECT 1"))
	f.Add([]byte("/* kind=a,req=9b1f03aa5c7e2d4")) // incomplete fields
	f.Add([]byte("KILL QUERY 99999999999999999999"))
	f.Fuzz(func(t *testing.T, b []byte) {
		d := Decoder{MaxPayload: 1 << 10}
		d.Feed(b)
		for {
			p, _, ok, err := d.Next()
			if err != nil || !ok {
				break
			}
			_, _ = ParseLogin(p)
		}
		if q, err := ParseQuery(b); err == nil && !bytes.HasSuffix(b, q.Statement) {
			t.Errorf("the statement %q is not a suffix of the input", q.Statement)
		}
		scanTables(b)
		ParseKill(b)
		FirstWord(b)
	})
}

// An open request keeps its fields, and a client chooses how long the comment is that they stand in.
func TestFieldsKeepNoLongComment(t *testing.T) {
	const queries, commentBytes = 200, 60_000
	before := liveHeap()
	kept := make([]Fields, queries)
	for i := range kept {
		text := fmt.Sprintf("/* kind=point,req=%016x,timeout=900,subject=k,opkey=o%d,pad=%s */ SELECT 1", i, i, strings.Repeat("x", commentBytes))
		query, err := ParseQuery([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		kept[i] = query.Fields
	}
	grown := liveHeap() - before
	claimed := 0
	for i := range kept {
		claimed += kept[i].KeptBytes()
	}
	if grown > queries*commentBytes/10 || claimed > queries*maxSharedComment {
		t.Errorf("the fields of %d queries keep %d bytes and claim %d; their comments have %d", queries, grown, claimed, queries*commentBytes)
	}
	runtime.KeepAlive(kept)
}

// liveHeap returns the size of the heap after a collection.
func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Order keys outlive their requests, so a long one is kept as a digest, which differs for different keys.
func TestLongOrderKeysAreKeptAsDigests(t *testing.T) {
	keys := map[string]bool{}
	for _, subject := range []string{strings.Repeat("a", 50_000), strings.Repeat("a", 50_001), "a", strings.Repeat("b", maxOrderKeyBytes)} {
		query, err := ParseQuery([]byte("/* kind=point,req=0123456789abcdef,timeout=900,subject=" + subject + " */ SELECT 1"))
		if err != nil {
			t.Fatal(err)
		}
		if n := len(query.Fields.OrderKey); n > maxOrderKeyBytes {
			t.Errorf("the key of a subject of %d bytes has %d", len(subject), n)
		}
		keys[query.Fields.OrderKey] = true
	}
	if len(keys) != 4 {
		t.Errorf("%d keys for 4 subjects", len(keys))
	}
}

// Guards against clients that take a gateway's memory and time with a great many short fields or words: 450 of them with
// packets of 60 KB of fields left a client beside them without any answer.
func TestManyFieldsAndWordsCostLittle(t *testing.T) {
	const packetBytes, runs = 60_000, 50
	head := "/* kind=point,req=00000000000000aa,timeout=900"
	var fields strings.Builder
	for i := 0; fields.Len() < packetBytes; i++ {
		fmt.Fprintf(&fields, ",%x=", i)
	}
	for name, text := range map[string]string{
		"fields":           head + fields.String() + " */ SELECT 1",
		"commas":           head + strings.Repeat(",", packetBytes) + " */ SELECT 1",
		"fields of resume": "/* resume=aa" + fields.String() + " */ FETCH",
		"commas of resume": "/* resume=aa" + strings.Repeat(",", packetBytes) + " */ FETCH",
		"words":            head + " */ SELECT " + strings.Repeat("a ", packetBytes/2),
	} {
		raw := []byte(text)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range runs {
			if _, ok, _ := ParseResume(raw); !ok {
				_, _ = ParseQuery(raw) // that fields over the limit are rejected is tested below
			}
		}
		runtime.ReadMemStats(&after)
		if allocated := (after.TotalAlloc - before.TotalAlloc) / runs; allocated > 2*packetBytes { // the comment is copied once
			t.Errorf("%s: %d bytes are allocated for a packet of %d", name, allocated, len(raw))
		}
	}
}

func TestNumberOfFieldsIsBounded(t *testing.T) {
	text := "/* kind=point,req=00000000000000aa,timeout=900"
	for i := 3; i < maxFields; i++ {
		text += fmt.Sprintf(",x%d=1", i)
	}
	if _, err := ParseQuery([]byte(text + " */ SELECT 1")); err != nil {
		t.Errorf("%d fields: %v", maxFields, err)
	}
	if _, err := ParseQuery([]byte(text + ",more=1 */ SELECT 1")); err == nil || !strings.Contains(err.Error(), "more than 64 fields") {
		t.Errorf("%d fields: %v", maxFields+1, err)
	}
	if _, ok, err := ParseResume([]byte("/* resume=aa" + strings.Repeat(",x", maxFields) + " */ FETCH")); !ok || err == nil {
		t.Errorf("a resume with equal fields: %v, %v", ok, err)
	}
}
