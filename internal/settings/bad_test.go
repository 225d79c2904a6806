package settings

import (
	"encoding/json"
	"strings"
	"testing"
)

// Invalid settings are rejected with a one-line error that names the key. A value of 0 is valid.
func TestUnusualSettings(t *testing.T) {
	const class = `{"classes":[{"name":"served","effect":"token","group":"cell","dedupWindow":900000,"giveUp":800000}]`
	for _, c := range []struct{ text, want string }{
		{class + `}`, ""},
		{class + `,"rules":{"tipAfter":0,"cold":5000000,"coldFrom":0,"overloadFactor":0,"lookBack":0,"freeResends":0}}`, ""},
		{class + `,"limits":{"connectTimeout":0,"multiplex":0,"maxAttempts":0,"maxOpen":0,"connIdle":0},"tick":0}`, ""},
		{class + `,"parties":[{"name":"kind","fraction":0,"quotaPerS":0}]}`, ""},
		{strings.Replace(class, `"token"`, `"twice"`, 1) + `}`, `effect has unknown value "twice"`},
		{strings.Replace(class, `"effect":"token",`, ``, 1) + `}`, `class 0 ("served"): settings: effect is missing`},
		{strings.Replace(class, `"cell"`, `"rack"`, 1) + `}`, `group has unknown value "rack"`},
		{strings.Replace(class, `900000`, `-1`, 1) + `}`, `dedupWindow is -1`},
		{strings.Replace(class, `800000`, `-800000`, 1) + `}`, `giveUp is -800000`},
		{class + `,"rules":{"coldFrom":1.5}}`, `rules.coldFrom is 1.5`},
		{class + `,"rules":{"tipAfter":-5}}`, `rules.tipAfter is -5`},
		{class + `,"limits":{"maxAttempts":-1}}`, `limits.maxAttempts is -1`},
		{class + `,"limits":{"connectTimeout":-1}}`, `limits.connectTimeout is -1`},
		{class + `,"report":{"how":"shouted"}}`, `report.how`},
		{`{}`, `no classes`},
	} {
		_, err := Decode(json.RawMessage(c.text))
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%s: %v", c.text, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n")):
			t.Errorf("%s: got %v, want a line that names %s", c.text, err, c.want)
		}
	}
}
