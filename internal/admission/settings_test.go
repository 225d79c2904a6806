package admission

import (
	"errors"
	"math"
	"testing"
)

// invalidSettings lists changes that make the default settings invalid, with the expected error and its text.
var invalidSettings = []struct {
	name   string
	change func(*Settings)
	want   error
	text   string
}{
	{"a weight of 0", func(s *Settings) { s.UnlistedWeight = 0 }, ErrOutOfRange, `unlisted "addresses": weight: 0 is not between 1e-06 and 1e+06`},
	{"a weight of NaN", func(s *Settings) { s.UnlistedWeight = math.NaN() }, ErrOutOfRange, `unlisted "addresses": weight: NaN is not between 1e-06 and 1e+06`},
	{"a duplicate network", func(s *Settings) { s.Networks = []Network{{Name: "n", Weight: 1}, {Name: "n", Weight: 1}} }, ErrDuplicate, `network "n" is declared twice`},
	{"a duplicate tenant", func(s *Settings) { s.Tenants = []Tenant{{Name: "t", Weight: 1}, {Name: "t", Weight: 1}} }, ErrDuplicate, `tenant "t" is declared twice`},
	{"an undeclared network", func(s *Settings) { s.Tenants = []Tenant{{Name: "t", Weight: 1, Networks: []string{"n"}}} }, ErrUnknownNetwork, `tenant "t": network "n" is not declared`},
	{"a module queue depth of 0", func(s *Settings) { s.ModuleQueueDepth = 0 }, ErrOutOfRange, "ahead: 0 is not between 1 and 1024"},
	{"a negative burst", func(s *Settings) { s.Burst = -1 }, ErrNegative, "burst and longest must not be negative"},
}

func TestValidate(t *testing.T) {
	for _, c := range invalidSettings {
		settings := Defaults()
		if err := settings.Validate(); err != nil {
			t.Fatal(err)
		}
		c.change(&settings)
		if err := settings.Validate(); !errors.Is(err, c.want) || err.Error() != c.text {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
