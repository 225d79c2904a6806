package dns

import (
	"errors"
	"net/netip"
	"reflect"
	"testing"

	miekg "github.com/miekg/dns"

	"foxlane/internal/standin"
)

const name = "_data._tcp.farm.lan"

var hosts = []standin.Host{
	{ID: "s-00c41f7a", Zone: "east", Addr: netip.MustParseAddrPort("10.1.0.9:7001"), Weight: 4, Kind: "std", Cell: 2, Started: 1700000000123},
	{ID: "s-1b241188", Zone: "west", Addr: netip.MustParseAddrPort("10.1.0.10:7002"), Weight: 1, Kind: "big", Draining: true},
}

func TestAnswer(t *testing.T) {
	a, err := Parse(standin.EncodeAnswer(7, name, 41, hosts), 7, name)
	want := Answer{Serial: 41, Hosts: []Host{
		{ID: "s-00c41f7a", Zone: "east", Addr: hosts[0].Addr, Weight: 40, Kind: "std", Cell: 2, Started: 1700000000123},
		{ID: "s-1b241188", Zone: "west", Addr: hosts[1].Addr, Weight: 10, Priority: 1, Kind: "big"},
	}}
	if err != nil || !reflect.DeepEqual(a, want) {
		t.Errorf("got %+v, %v", a, err)
	}
	if a, err := Parse(standin.EncodeAnswer(7, name, 42, nil), 7, name); err != nil || a.Serial != 42 || len(a.Hosts) != 0 {
		t.Errorf("an empty list: %+v, %v", a, err)
	}
}

// An independent DNS library parses the queries of this package, and this package parses that library's answers, with
// and without name compression.
func TestInteroperability(t *testing.T) {
	var q miekg.Msg
	if err := q.Unpack(AppendQuery(nil, 7, name)); err != nil || len(q.Question) != 1 || q.Question[0].Name != name+"." ||
		q.Question[0].Qtype != miekg.TypeSRV || q.Id != 7 {
		t.Fatalf("the query was parsed as %v, %v", q, err)
	}
	for _, compress := range []bool{false, true} {
		var m miekg.Msg
		m.SetReply(&q)
		m.Compress = compress
		for _, line := range []string{name + ". 5 IN SRV 0 40 7001 s-00c41f7a.east.hosts."} {
			m.Answer = append(m.Answer, parseRecord(t, line))
		}
		m.Ns = append(m.Ns, parseRecord(t, "farm.lan. 5 IN SOA ns.farm.lan. root.farm.lan. 9 1 1 1 1"))
		m.Extra = append(m.Extra, parseRecord(t, `s-00c41f7a.east.hosts. 5 IN A 10.1.0.9`),
			parseRecord(t, `s-00c41f7a.east.hosts. 5 IN TXT "kind=std" "cell=2" "started=0"`))
		m.SetEdns0(1232, false)
		b, err := m.Pack()
		if err != nil {
			t.Fatal(err)
		}
		a, err := Parse(b, 7, name)
		want := Answer{Serial: 9, Hosts: []Host{{ID: "s-00c41f7a", Zone: "east", Addr: hosts[0].Addr, Weight: 40, Kind: "std", Cell: 2}}}
		if err != nil || !reflect.DeepEqual(a, want) {
			t.Errorf("compressed %v: got %+v, %v", compress, a, err)
		}
	}
}

func parseRecord(t *testing.T, line string) miekg.RR {
	t.Helper()
	rr, err := miekg.NewRR(line)
	if err != nil {
		t.Fatal(err)
	}
	return rr
}

func TestMalformedAnswers(t *testing.T) {
	good := standin.EncodeAnswer(7, name, 41, hosts)
	change := func(offset int, b byte) []byte {
		out := append([]byte{}, good...)
		out[offset] = b
		return out
	}
	loopingName := append(append([]byte{}, good[:12]...), 0xc0, 12, 0, 33, 0, 1)
	for description, c := range map[string]struct {
		msg  []byte
		want error
	}{
		"another id":       {change(1, 8), ErrMismatch},
		"a query":          {change(2, 0), ErrMismatch},
		"truncated flag":   {change(2, 0x86), ErrTruncated},
		"server failure":   {change(3, 2), ErrRefused},
		"another question": {change(14, 'x'), ErrMismatch},
		"a looping name":   {loopingName, ErrName},
		"a missing record": {change(11, 3), ErrMissing},
		"empty":            {nil, ErrMismatch},
	} {
		if _, err := Parse(c.msg, 7, name); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", description, err, c.want)
		}
	}
	for n := range len(good) {
		if _, err := Parse(good[:n], 7, name); err == nil {
			t.Fatalf("an answer truncated to %d bytes was accepted", n)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(standin.EncodeAnswer(7, name, 41, hosts))
	f.Add(AppendQuery(nil, 7, name))
	f.Fuzz(func(t *testing.T, msg []byte) {
		a, err := Parse(msg, 7, name)
		for _, h := range a.Hosts {
			if err == nil && (h.ID == "" || !h.Addr.IsValid()) {
				t.Fatalf("got %+v", h)
			}
		}
	})
}
