package engine

import (
	"errors"
	"maps"
	"strings"
	"testing"
)

func TestAnswers(t *testing.T) {
	stream := "9b served total=2,elapsed=12.5,rss=96,rep=inflight:7;util:0.61,new=1 4\r\na\tb\n\r\n" +
		"9b rows index=1 2\r\n\r\n\r\n" + "x overload - 0\r\n\r\n" + "t1 green - 0\r\n\r\n"
	for size := 1; size <= len(stream); size++ {
		d := Decoder{MaxLineBytes: 100, MaxBodyBytes: 10}
		var got []string
		for rest := stream; rest != ""; {
			n := min(size, len(rest))
			d.Feed([]byte(rest[:n]))
			rest = rest[n:]
			for {
				a, ok, err := d.Next()
				if err != nil {
					t.Fatal(err)
				}
				if !ok {
					break
				}
				got = append(got, string(a.ID)+"="+string(a.Body))
				if a.Kind == Served && (a.PageCount != 2 || a.WorkMS != 12.5 || a.MemoryMB != 96 ||
					!maps.Equal(ParseReport(a.Report), map[string]float64{"inflight": 7, "util": 0.61})) {
					t.Fatalf("got %+v", a)
				}
				if a.Kind == FurtherPage && a.Page != 1 {
					t.Fatalf("got %+v", a)
				}
			}
		}
		if s := strings.Join(got, ","); s != "9b=a\tb\n,9b=\r\n,x=,t1=" {
			t.Errorf("answers fed in parts of %d bytes: got %q", size, s)
		}
	}
}

func TestBrokenAnswers(t *testing.T) {
	for _, c := range []struct {
		in   string
		want error
	}{
		{strings.Repeat("x", 100), ErrLineTooLong},
		{"a served - 11\r\n", ErrBodyTooLong},
		{"a served - 99999999999999999999\r\n", ErrMalformed},
		{"a served -\r\n", ErrMalformed},
		{" served - 0\r\n", ErrMalformed},
		{"a served - -1\r\n", ErrMalformed},
		{"a served - 1\r\nabc", ErrMalformed},
		{"a dance - 0\r\n\r\n", ErrUnknownKind},
		{"a served total=x 0\r\n\r\n", ErrBadField},
		{"a served total 0\r\n\r\n", ErrBadField},
		{"a served elapsed=NaN 0\r\n\r\n", ErrBadField},
		{"a rows index=-1 0\r\n\r\n", ErrBadField},
	} {
		d := Decoder{MaxLineBytes: 100, MaxBodyBytes: 10}
		d.Feed([]byte(c.in))
		if _, _, err := d.Next(); !errors.Is(err, c.want) {
			t.Errorf("%.40q: got %v, want %v", c.in, err, c.want)
		}
	}
}

func TestCommands(t *testing.T) {
	b := AppendRequest(nil, Request{ID: "9b", Class: "point", TimeoutMS: 1500, MemoryMB: 96, Priority: 3, Statement: []byte("SELECT 1")})
	b = AppendRequest(b, Request{ID: "9c", Class: "point", TimeoutMS: 1, Priority: DefaultPriority})
	b = AppendRelease(AppendFetchPage(AppendPriority(AppendCancel(b, "9b"), "9b", 2), "9b", 1), "9b")
	b = AppendProbe(b, "t1")
	want := "ASK 9b lane=point,ttl=1500,pool=96,band=3 8\r\nSELECT 1\r\n" + "ASK 9c lane=point,ttl=1 0\r\n\r\n" +
		"QUIT 9b\r\nPRIO 9b 2\r\nNEXT 9b 1\r\nFREE 9b\r\nINFO t1\r\n"
	if string(b) != want {
		t.Errorf("got %q, want %q", b, want)
	}
}

func FuzzAnswers(f *testing.F) {
	f.Add("9b served total=2,rep=a:1;b 4\r\na\tb\n\r\n", 3)
	f.Add("9b served total=1 3221225472\r\na\tb\n", 5) // announces a body of 3 GB
	f.Add("9b served total=1 600\r\na\tb", 4)          // truncated body
	f.Add("9b served total=1,elapsed=1e30 0\r\n\r\n", 7)
	f.Add("\x00\x17\xff\x80 served", 2)
	f.Add("9b served total=1 0\r\n\r\n9b served total=1 0\r\n\r\n", 9)
	f.Fuzz(func(t *testing.T, in string, cut int) {
		d := Decoder{MaxLineBytes: 100, MaxBodyBytes: 50}
		cut = max(0, min(cut, len(in)))
		for _, part := range []string{in[:cut], in[cut:]} {
			d.Feed([]byte(part))
			for {
				a, ok, err := d.Next()
				if err != nil || !ok {
					break
				}
				if len(a.Body) > 50 || len(a.ID) == 0 {
					t.Fatalf("got %+v", a)
				}
				ParseReport(a.Report)
			}
		}
	})
}
