package main

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
)

// The plan of the example's two zones is printed as a table, and as JSON with --json.
func TestPlanCommand(t *testing.T) {
	out, err := execute("plan", "../../example/config.json", "--lose", "hall-a", "--return", "hall-a")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"hall-a", "refused first: tenants over their share, repeats of what failed before", "returning", "lost", "loss of hall-a"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
	out, err = execute("plan", "../../example/config.json", "--lose", "hall-a", "--load", "0.4", "--json", "--for", "20s")
	if err != nil {
		t.Fatal(err)
	}
	var p plan
	if err := json.Unmarshal([]byte(out), &p); err != nil || len(p.Seconds) != 20 || p.Cores[0] != 16 || math.Abs(p.Demand[1]-6.4) > 1e-9 {
		t.Fatalf("%v: %+v", err, p)
	}
	last := p.Seconds[len(p.Seconds)-1]
	if last.Zones[0].Own != 0 || math.Abs(last.Zones[1].Own-12.8) > 1e-6 || last.Left > 1e-9 {
		t.Errorf("hall-a is lost, and hall-b must serve the clients of both: %+v", last)
	}
}

func TestPlanErrors(t *testing.T) {
	t.Setenv("LB_CONFIG", "")
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"plan"}, "name a configuration"},
		{[]string{"plan", "../../example/config.json", "--lose", "hall-z"}, `no zone "hall-z"; there are hall-a, hall-b`},
		{[]string{"plan", "../../example/config.json", "--load", "0"}, "--load is 0,"},
		{[]string{"plan", "../../example/config.json", "--load", "NaN"}, "--load is NaN,"},
		{[]string{"plan", "../../example/config.json", "--at", "-1s"}, "--at is -1s,"},
		{[]string{"plan", "../../example/config.json", "--after", "0s"}, "--after is 0s,"},
		{[]string{"plan", "../../example/config.json", "--for", "2h"}, "--for is 2h0m0s,"},
		{[]string{"plan", "../../example/config.json", "--site", "nowhere.hcl"}, "nowhere.hcl"},
	} {
		if _, err := execute(c.args...); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: got %v, want %q", c.args, err, c.want)
		}
	}
}
