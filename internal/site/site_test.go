package site

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"foxlane/rules"
)

const sample = `
fair {
  any_tenant = true
  ahead      = 6
  burst      = "250ms"
  longest    = "1m30s"
  state      = "1.5MB"

  network "offices" {
    addresses = ["10.1.0.0/16", "2001:db8::/32", "10.2.0.1-10.2.0.9", "!10.1.9.0/24"]
    weight    = 2
    together  = true
  }
  network "proxy" {
    addresses = ["192.0.2.7"]
    trusted   = true
  }
  tenant "coop-a" {
    weight   = 4
    networks = ["offices", "proxy"]
  }
}
`

// parse parses a file that must be valid. It checks that Parse accepts the output of String, with the same settings.
func parse(t *testing.T, text string) *Config {
	t.Helper()
	c, err := Parse([]byte(text), "site.hcl")
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse([]byte(c.String()), "again.hcl")
	if err != nil || again.String() != c.String() {
		t.Errorf("%v\n%s", err, c)
	}
	return c
}

// checkErrors checks that each file is rejected as a whole, with an error that contains the wanted text.
func checkErrors(t *testing.T, wantByText map[string]string) {
	t.Helper()
	for text, want := range wantByText {
		c, err := Parse([]byte(text), "s.hcl")
		if err == nil || c != nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s\ngot %v, want %q", text, err, want)
		}
	}
}

func TestParse(t *testing.T) {
	s := parse(t, sample)
	d := s.Admission.Settings
	if !d.AnyTenant || d.ModuleQueueDepth != 6 || d.Burst != 250*rules.Millisecond || d.MaxRetryAfter != 90*rules.Second || s.Admission.StateBytes != 3<<19 || d.MaxEarlyReturns != 8 {
		t.Errorf("got %+v, state %d", d, s.Admission.StateBytes)
	}
	offices := d.Networks[0].Addresses
	for addr, in := range map[string]bool{"10.1.2.3": true, "10.1.9.3": false, "10.2.0.9": true, "10.2.0.10": false, "2001:db8::1": true} {
		if offices.Contains(netip.MustParseAddr(addr)) != in {
			t.Errorf("%s in offices: %v", addr, !in)
		}
	}
	if len(d.Tenants) != 1 || d.Tenants[0].Weight != 4 || len(d.Tenants[0].Networks) != 2 {
		t.Errorf("tenants: %+v", d.Tenants)
	}
}

func TestSubsystemWithoutBlockIsOff(t *testing.T) {
	s, err := Parse([]byte("# nothing\n"), "site.hcl")
	if err != nil || s.Admission != nil || s.String() != "# fair: off\n# spool: off\n# sites: off\n# members: off\n# directives: off\n" {
		t.Errorf("got %+v, %v", s, err)
	}
	s, err = Parse([]byte("fair {}\n"), "site.hcl")
	if err != nil || s.Admission == nil {
		t.Errorf("got %+v, %v", s, err)
	}
}

func TestErrorPositions(t *testing.T) {
	checkErrors(t, map[string]string{
		"fair {\n  ahed = 3\n}\n":                            `s.hcl:2:3: Unsupported argument: An argument named "ahed" is not expected here. Did you mean "ahead"?`,
		"fare {\n}\n":                                        `s.hcl:1:1: Unsupported block type`,
		"fair {\n":                                           "s.hcl:1:6: ",
		"fair {}\nfair {}\n":                                 "s.hcl:2:1: Duplicate fair block",
		"fair {\n  burst = \"3 parsecs\"\n}\n":               `s.hcl:2:11: burst: "3 parsecs" is not a duration`,
		"fair {\n  burst = \"-3s\"\n}\n":                     "s.hcl:2:11: burst",
		"fair {\n  burst = 3\n}\n":                           "s.hcl:2:11: burst must be a string",
		"fair {\n  state = \"3TB\"\n}\n":                     "s.hcl:2:11: state",
		"fair {\n  state = \"1KB\"\n}\n":                     "s.hcl:2:11: state: 1KB is not between 16KB and 1GB",
		"fair {\n  ahead = 2.5\n}\n":                         "s.hcl:2:11: ahead: 2.5 is not a whole number",
		"fair {\n  ahead = 0\n}\n":                           "s.hcl:2:11: ahead",
		"fair {\n  ahead = nope\n}\n":                        "s.hcl:2:11: Variables not allowed",
		"fair {\n  any_tenant = \"yes\"\n}\n":                "s.hcl:2:16: any_tenant must be a bool",
		"fair {\n  tenant \"a\" {\n    weight = 0\n  }\n}\n": "s.hcl:3:14: weight: 0 is not between",
		"fair {\n  tenant \"a$b\" {}\n}\n":                   `s.hcl:2:3: tenant "a$b": a name must have`,
		"fair {\n  tenant \"a\" {}\n  tenant \"a\" {}\n}\n":  `s.hcl:3:3: tenant "a" is declared twice`,
		"fair {\n  tenant \"a\" {\n    networks = [\"offixes\"]\n  }\n  network \"offices\" {\n    addresses = [\"10.0.0.0/8\"]\n  }\n}\n": `s.hcl:3:17: network "offixes" is not declared; did you mean "offices"?`,
		"fair {\n  tenant \"a\" {\n    networks = []\n  }\n}\n":                                                                            "s.hcl:3:5: tenant",
		"fair {\n  network \"n\" {\n  }\n}\n":                                                                                              `s.hcl:2:3: network "n" has no addresses`,
		"fair {\n  network \"n\" {\n    addresses = []\n  }\n}\n":                                                                          `s.hcl:2:3: network "n" has no addresses`,
		"fair {\n  network \"n\" {\n    addresses = [\"10.0.0.1/8\"]\n  }\n}\n":                                                            "s.hcl:3:18: 10.0.0.1/8 has bits set after its prefix length",
		"fair {\n  network \"n\" {\n    addresses = [\"somewhere\"]\n  }\n}\n":                                                             `s.hcl:3:18: "somewhere" is not an address`,
		"fair {\n  network \"n\" {\n    addresses = [7]\n  }\n}\n":                                                                         "s.hcl:3:18: addresses contains an element that is not a string",
		"fair {\n  network \"n\" {\n    addresses = \"10.0.0.0/8\"\n  }\n}\n":                                                              "s.hcl:3:17: addresses must be a list",
	})
}

func TestSpoolBlock(t *testing.T) {
	s := parse(t, "spool {\n folder = \"/var/spool/fox\"\n disk = \"10GB\"\n result = \"1GB\"\n lease = \"5m\"\n}\n")
	u := s.Spool.Budget
	if s.Spool.Folder != "/var/spool/fox" || u.DiskBytes != 10<<30 || u.MaxResultBytes != 1<<30 || u.MaxTenantBytes != 5<<30 || u.LeaseTime != 300*rules.Second || u.MaxPages < 1<<30/enginePageBytes {
		t.Errorf("got %+v", s.Spool)
	}
	checkErrors(t, map[string]string{
		"spool {\n disk = \"1GB\"\n}":                     "s.hcl:2:2: disk is set, but folder is not",
		"spool {\n folder = \"a$b\"\n}":                   "s.hcl:2:11: folder contains quotes",
		"spool {\n memory = \"1KB\"\n}":                   "s.hcl:2:11: memory: 1KB is not between",
		"spool {\n lease = \"1ms\"\n}":                    "s.hcl:1:1: spool: a lease must be a second or more",
		"spool {\n folder = \"/a\"\n result = \"4GB\"\n}": "s.hcl:1:1: spool: a result or a tenant may not have more",
		"spool {\n result = \"1GB\"\n}":                   "s.hcl:1:1: spool: a result or a tenant may not have more",
		"spool {\n foldr = \"/a\"\n}":                     `Did you mean "folder"?`,
	})
}

func TestLoadFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.hcl")
	if _, err := LoadFile(path); err == nil {
		t.Error("a missing file was accepted")
	}
	if err := os.WriteFile(path, make([]byte, maxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadFile(path); err == nil || !strings.Contains(err.Error(), "at most") {
		t.Errorf("a file over the limit: %v", err)
	}
	if err := os.WriteFile(path, []byte(sample), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, err := LoadFile(path); err != nil || s.Admission == nil {
		t.Errorf("got %+v, %v", s, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("fair {\n ahead = 1e99\n}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text, "f.hcl")
		if err != nil {
			return
		}
		if again, err := Parse([]byte(s.String()), "again.hcl"); err != nil || again.String() != s.String() {
			t.Errorf("%v\n%s", err, s)
		}
	})
}
