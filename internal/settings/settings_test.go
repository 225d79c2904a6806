package settings

import (
	"reflect"
	"testing"

	"foxlane/rules"
)

// Decode returns the names and values that only the gateway needs with the settings of the decision module.
func TestDecode(t *testing.T) {
	s, err := Decode([]byte(`{"classes":[{"name":"point","aim":5,"effect":"pure"},{"name":"load","effect":"side_effect","staysIn":[1]}],
		"extra":{"classThreads":[1,4],"cpuOfKind":[16],"isLoad":[false,true]},"machineTypes":["std"],"zones":["a","b"],
		"limits":{"connIdle":15000000,"multiplex":32,"maxOpen":7},"parties":[{"name":"acme","quotaPerS":2}],"later":1}`))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual([][]string{s.ClassNames, s.ZoneNames, s.KindNames, s.TenantNames},
		[][]string{{"point", "load"}, {"a", "b"}, {"std"}, {"acme"}}) {
		t.Errorf("names: %+v", s)
	}
	if s.EngineIdleTimeout != 15*rules.Second || s.Multiplex != 32 || s.Rules.Limits.MaxOpenRequests != 7 {
		t.Errorf("values: %+v", s)
	}
	if c := s.Rules.Classes[1]; c.Threads != 4 || !c.IsDataLoad || c.Idempotency != rules.NotIdempotent || c.AllowedZones[0] != 1 {
		t.Errorf("class: %+v", c)
	}
}

func TestDecodeErrors(t *testing.T) {
	for _, raw := range []string{``, `null`, `{`, `{}`, `{"classes":[]}`, `{"classes":[{"effect":"odd"}]}`,
		`{"classes":[{}],"report":{"how":"odd"}}`, `{"classes":[{"worth":-1}]}`} {
		if _, err := Decode([]byte(raw)); err == nil {
			t.Errorf("%q was accepted", raw)
		}
	}
}
