package admission

import (
	"errors"
	"math"
	"testing"
)

// invalidSettings are changes that make the defaults invalid, with the error that tells each.
var invalidSettings = []struct {
	name   string
	change func(*Settings)
	want   error
	text   string
}{
	{"a weight of 0", func(s *Settings) { s.UnlistedWeight = 0 }, ErrOutOfRange, `unlisted "addresses": weight 0 is not within 1e-06 and 1e+06`},
	{"a weight that is no number", func(s *Settings) { s.UnlistedWeight = math.NaN() }, ErrOutOfRange, `unlisted "addresses": weight NaN is not within 1e-06 and 1e+06`},
	{"a network twice", func(s *Settings) { s.Networks = []Network{{Name: "n", Weight: 1}, {Name: "n", Weight: 1}} }, ErrDuplicate, `network "n" comes twice`},
	{"a tenant twice", func(s *Settings) { s.Tenants = []Tenant{{Name: "t", Weight: 1}, {Name: "t", Weight: 1}} }, ErrDuplicate, `tenant "t" comes twice`},
	{"a network that is not declared", func(s *Settings) { s.Tenants = []Tenant{{Name: "t", Weight: 1, Networks: []string{"n"}}} }, ErrUnknownNetwork, `tenant "t": no network "n"`},
	{"no queue in the decision module", func(s *Settings) { s.ModuleQueueDepth = 0 }, ErrOutOfRange, "ahead is 0, not within 1 and 1024"},
	{"a negative burst", func(s *Settings) { s.Burst = -1 }, ErrNegative, "burst and longest must not be under 0"},
}

func TestValidate(t *testing.T) {
	for _, c := range invalidSettings {
		set := Defaults()
		if err := set.Validate(); err != nil {
			t.Fatal(err)
		}
		c.change(&set)
		if err := set.Validate(); !errors.Is(err, c.want) || err.Error() != c.text {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
