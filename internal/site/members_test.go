package site

import (
	"net/netip"
	"testing"

	"foxlane/rules"
)

const membersSample = `
members {
  bind      = "10.0.0.4:7946"
  control   = "127.0.0.1:7947"
  seeds     = ["10.0.0.5:7946", "10.0.0.6:7946"]
  may       = ["10.0.0.0/24"]
  budget    = 40000
  observers = 3
  fresh     = "2s"
  via "10.0.0.6:7946" {
    at = "192.0.2.6:9000"
  }
}
directives {
  voters = ["n0", "n1", "n2"]
  folder = "/var/lib/foxlane"
}
`

func TestMembers(t *testing.T) {
	s := parse(t, membersSample)
	m := s.Members
	if m.Bind.String() != "10.0.0.4:7946" || m.Control.Port() != 7947 || len(m.Seeds) != 2 || m.Replica.BytesPerSecond != 40000 || m.Gossip.MinObservers != 3 ||
		m.Gossip.MaxReportAge != 2*rules.Second || m.AddressMap[netip.MustParseAddrPort("10.0.0.6:7946")].Port() != 9000 {
		t.Errorf("got %+v", m)
	}
	if d := s.Directives; len(d.Voters) != 3 || d.LogFolder != "/var/lib/foxlane" || d.TickInterval != 100*rules.Millisecond {
		t.Errorf("got %+v", d)
	}
	set, err := m.AllowedSet()
	if err != nil || !set.Contains(netip.MustParseAddr("10.0.0.9")) || set.Contains(netip.MustParseAddr("10.0.1.9")) {
		t.Errorf("%v, %v", set, err)
	}
}

func TestInvalidMembers(t *testing.T) {
	checkErrors(t, map[string]string{
		"members {\n}":                                                                "1:1: the block members needs bind",
		"members {\n  bind = \"somewhere\"\n}":                                        "2:10: bind: \"somewhere\" is not an address",
		"members {\n  bind = \"0.0.0.0:7946\"\n}":                                     "is not an address with a port that other gateways could reach",
		"members {\n  bind = \"10.0.0.4:0\"\n}":                                       "is not an address with a port",
		"members {\n  bind = \"10.0.0.4:1\"\n  may = [\"10.0.1.0/24\"]\n}":            "may does not include the gateway's own address 10.0.0.4",
		"members {\n  bind = \"10.0.0.4:1\"\n  may = [\"10.0.1.0\"]\n}":               "\"10.0.1.0\" is not an address prefix",
		"members {\n  bind = \"10.0.0.4:1\"\n  budget = 5\n}":                         "5 is not between 1000",
		"members {\n  bind = \"10.0.0.4:1\"\n  via \"x\" {\n    at = \"y:1\"\n  }\n}": "\"x\" is not an address",
		"directives {\n  voters = [\"a\"]\n}":                                         "the block directives needs the block members",
		"members {\n  bind = \"10.0.0.4:1\"\n}\ndirectives {\n}":                      "4:1: voters: 0 are named; 1, 3 or 5 are allowed",
		"directives {\n  voters = [\"a\", \"b\"]\n}":                                  "2 are named; 1, 3 or 5",
		"directives {\n  voters = [\"a\", \"a\", \"b\"]\n}":                           "\"a\" is named twice",
		"members {\n  bind = \"10.0.0.4:1\"\n  seed = []\n}":                          "3:3: Unsupported argument",
	})
}
