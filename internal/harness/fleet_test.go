package harness

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var gatewayProgram string

// TestMain builds the gateway once.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rigtest")
	if err != nil {
		panic(err)
	}
	gatewayProgram = filepath.Join(dir, "foxlane")
	if out, err := exec.Command("go", "build", "-o", gatewayProgram, "foxlane/cmd/foxlane").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const threeZones = `
zone "hall-a" {
  gateways = 2
  engines  = 2
}
zone "hall-b" {
  gateways = 2
  engines  = 2
}
zone "hall-c" {
  gateways = 2
  engines  = 2
}
cores  = 8
cold   = "6s"
`

const siteSettings = `
operator = <<E
sites {
  settle = "300ms"
  ramp = "4s"
}
E
`

func playScript(t *testing.T, text string) *Report {
	t.Helper()
	script, err := ParseScript([]byte(text), t.Name()+".hcl")
	if err != nil {
		t.Fatal(err)
	}
	report, err := Run(context.Background(), gatewayProgram, *script, "")
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%v", report)
	for _, x := range report.Violations {
		t.Error(x)
	}
	return report
}

// A zone is lost, engines and gateways, and comes back cold: the others take over, nothing goes there meanwhile, and it gets its
// part again without being pushed over.
func TestZoneIsLostAndReturns(t *testing.T) {
	t.Parallel()
	report := playScript(t, threeZones+siteSettings+`
load   = 0.5
length = "16s"
fault "lose" {
  of = "hall-a"
  at = "3s"
  for = "4s"
  unlisted = "2s"
}
`)
	if got := report.ServedShare(5, 7); got < 0.9 {
		t.Errorf("%.3f of the worth served while the zone was away", got)
	}
	if got := report.ServedShare(12, 16); got < 0.95 {
		t.Errorf("%.3f of the worth served after the return", got)
	}
	if p := report.WorkByZone(13, 16); p[0] < 0.2 {
		t.Errorf("6 s after its return the zone gets %.2f of the work", p[0])
	}
	if p := report.WorkByZone(5, 7); p[0] > 0.05 {
		t.Errorf("the lost zone gets %.2f of the work", p[0])
	}
	if report.GatewaysEntered("hall-a", "lost") < 4 || report.ColdOverloads > 0 {
		t.Errorf("%d gateways saw the loss; cold engines fell %d times", report.GatewaysEntered("hall-a", "lost"), report.ColdOverloads)
	}
}

// A zone that flaps every two seconds is taken back by a gateway twice in six flaps at most, and the rest serves on.
func TestZoneFlaps(t *testing.T) {
	t.Parallel()
	const flaps, every, silent = 6, 2200 * time.Millisecond, 1400 * time.Millisecond
	text := threeZones + siteSettings + "load = 0.45\nlength = \"17s\"\n"
	for i := range time.Duration(flaps) {
		for e := range 2 {
			text += fmt.Sprintf("fault \"silence\" {\n  of = \"hall-a/e%d\"\n  at = \"%v\"\n  for = \"%v\"\n}\n", e, 2*time.Second+i*every, silent)
		}
	}
	report := playScript(t, text)
	if got := report.ServedShare(9, 15); got < 0.9 {
		t.Errorf("%.3f of the worth served after the third flap", got)
	}
	losses, returns := 0, map[string]int{}
	for _, e := range report.Events {
		switch {
		case e.Zone != "hall-a" || e.At > 2*time.Second+flaps*every:
		case strings.HasSuffix(e.Text, "> lost"):
			losses++
		case strings.HasSuffix(e.Text, "> returning"):
			if returns[e.Source]++; returns[e.Source] > 2 {
				t.Errorf("%s takes the zone back at %v, for the %d. time in %d flaps", e.Source, e.At, returns[e.Source], flaps)
			}
		}
	}
	if losses == 0 {
		t.Error("no gateway has seen a loss: the test has lost its subject")
	}
}

// One way is cut: queries reach a zone's engines from other zones, answers don't come back. Nothing unsafe is sent twice, each
// answer is given in time, and the zone's own gateways serve on.
func TestAnswersAreCutOff(t *testing.T) {
	t.Parallel()
	report := playScript(t, threeZones+siteSettings+`
load   = 0.5
length = "12s"
fault "burst" {
  of     = "hall-b"
  at     = "1s"
  for    = "10s"
  factor = 2
}
fault "cut" {
  from = "hall-a"
  to   = "gateways"
  at   = "3s"
  for  = "4s"
}
`)
	if got := report.ServedShare(4, 7); got < 0.85 {
		t.Errorf("%.3f of the worth served while answers were cut off", got)
	}
	if got := report.ServedShare(9, 12); got < 0.95 {
		t.Errorf("%.3f served after it", got)
	}
}

// A site is cut off from the others, both ways, but not from its clients: all sites serve on alone.
func TestSiteServesOnAlone(t *testing.T) {
	t.Parallel()
	report := playScript(t, threeZones+siteSettings+`
load   = 0.5
length = "11s"
fault "cut" {
  from = "hall-a"
  to   = "hall-b"
  both = true
  at   = "3s"
  for  = "5s"
}
fault "cut" {
  from = "hall-a"
  to   = "hall-c"
  both = true
  at   = "3s"
  for  = "5s"
}
`)
	if got := report.ServedShare(4, 8); got < 0.95 {
		t.Errorf("%.3f of the worth served while a site was cut off", got)
	}
	if p := report.WorkByZone(4, 8); p[0] < 0.25 {
		t.Errorf("the site that is cut off serves %.2f of the work", p[0])
	}
}

// A zone is drained by the operators' file while the name service says nothing, and another is lost meanwhile; a gateway starts in
// the middle of it, another is frozen and thawed.
func TestLostWhileAnotherDrainsInTheDark(t *testing.T) {
	t.Parallel()
	report := playScript(t, threeZones+strings.Replace(siteSettings, "ramp", "drain_over = \"2s\"\n  ramp", 1)+`
load   = 0.25
length = "17s"
fault "dark" {
  at  = "1s"
  for = "10s"
}
fault "drain" {
  of  = "hall-b"
  at  = "2s"
  for = "8s"
}
fault "lose" {
  of  = "hall-a"
  at  = "5s"
  for = "4s"
  unlisted = "1s"
}
fault "kill" {
  of  = "hall-c/g1"
  at  = "6s"
  for = "500ms"
}
fault "freeze" {
  of  = "hall-c/g0"
  at  = "8s"
  for = "1s"
}
`)
	if got := report.ServedShare(6, 8); got < 0.8 {
		t.Errorf("%.3f of the worth served with one zone of three", got)
	}
	if p := report.WorkByZone(6, 8); p[1] > 0.1 || p[0] > 0.05 {
		t.Errorf("parts %.2f with the first zone lost and the second drained", p)
	}
	if got := report.ServedShare(14, 17); got < 0.95 {
		t.Errorf("%.3f served in the end", got)
	}
	if p := report.WorkByZone(14, 17); p[1] < 0.15 {
		t.Errorf("parts %.2f in the end: the drained zone does not come back", p)
	}
}

// The smaller of two sites takes over from the larger, with a ladder: what earns least for its work is refused, what earns most is
// not.
func TestSmallSiteTakesOver(t *testing.T) {
	t.Parallel()
	report := playScript(t, `
zone "big" {
  gateways = 3
  engines  = 3
}
zone "small" {
  gateways = 1
  engines  = 1
}
cores  = 8
cold   = "4s"
load   = 0.6
length = "18s"
operator = <<E
sites {
  settle = "300ms"
  ramp   = "3s"
  shedding {
    settle = "300ms"
  }
}
E
fault "lose" {
  of = "big"
  at = "3s"
  for = "6s"
  unlisted = "1s"
}
`)
	var part [3]float64
	for c := range part {
		for _, s := range report.Seconds[5:9] {
			part[c] += float64(s.Rejected[c]) / float64(report.Classes[c].Requests) * float64(len(report.Seconds)) / 4
		}
	}
	if part[1] < 0.2 || part[0] > part[1]/2 {
		t.Errorf("with a quarter of the engines %.2f of the first tries are refused, by class; the first earns most for its work, the second least", part)
	}
	if got := report.ServedShare(15, 18); got < 0.93 {
		t.Errorf("%.3f served after the return", got)
	}
}

func TestInvalidScripts(t *testing.T) {
	base := threeZones + "load = 0.5\nlength = \"5s\"\n"
	for text, want := range map[string]string{
		"load = 0.5\nlength = \"5s\"\ncores = 4\n":                        "0 gateways and 0 engines",
		threeZones + "load = 0.5\nlength = \"5m\"\n":                      "at most 3m0s",
		threeZones + "load = 0.5\nlength = \"soon\"\n":                    "\"soon\" is no span of time",
		base + "fault \"flood\" {\n  at = \"1s\"\n}\n":                    "unknown fault \"flood\"",
		base + "fault \"kill\" {\n  at = \"1s\"\n}\n":                     "kill needs `of`",
		base + "fault \"cut\" {\n  at = \"1s\"\n  from = \"hall-a\"\n}\n": "cut needs `from` and `to`",
		base + "fault \"kill\" {\n  at = \"1s\"\n  of = \"hall-a/g7\"\n}": "nothing here is called \"hall-a/g7\"",
		base + "fault \"slow\" {\n  at = \"1s\"\n  of = \"engines\"\n}":   "needs a factor",
	} {
		if _, err := ParseScript([]byte(text), "x.hcl"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s\ngot %v, want %q", text, err, want)
		}
	}
}
