package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"foxlane/internal/faultproxy"
)

// gatewayProgram is the path of the gateway binary that TestMain builds.
var gatewayProgram string

// TestMain builds the gateway once, and fails if the tests leave goroutines behind.
func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (code int, err error) {
	dir, err := os.MkdirTemp("", "harnesstest")
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	gatewayProgram = filepath.Join(dir, "foxlane")
	if out, err := exec.Command("go", "build", "-o", gatewayProgram, "foxlane/cmd/foxlane").CombinedOutput(); err != nil {
		return 0, fmt.Errorf("build the gateway: %w: %s", err, out)
	}
	code = m.Run()
	if code == 0 {
		err = goleak.Find()
	}
	return code, err
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

// fault returns a fault block of a script, with one attribute per line.
func fault(kind string, attributes ...string) string {
	return fmt.Sprintf("fault %q {\n%s\n}\n", kind, strings.Join(attributes, "\n"))
}

// playScript plays a script, logs its report, and fails the test for each violation.
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
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	return report
}

// checkServedShare fails the test if less than minShare of the weight offered in the seconds from (inclusive) to
// (exclusive) was served.
func checkServedShare(t *testing.T, report *Report, from, to int, minShare float64, when string) {
	t.Helper()
	if got := report.ServedShare(from, to); got < minShare {
		t.Errorf("%.3f of the weight served %s, want %.2f", got, when, minShare)
	}
}

// The keys of the JSON report must not change when fields are renamed, since other programs read them.
func TestReportJSONKeys(t *testing.T) {
	raw, err := json.Marshal(&Report{Seconds: []Second{{}}, Classes: []ClassReport{{}}, Events: []Event{{}}, Links: map[string]faultproxy.Counts{"a > b": {}}})
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"Seconds":[{"Offered":0,"Worth":0,"To":null,"Foreign":null,"Refused":null,"Again":0,"Failed":0,"Turned":0}],` +
		`"Classes":[{"Name":"","Asked":0,"InTime":0,"Late":0,"Refused":0,"Failed":0,"Ran":0}],` +
		`"Breaches":null,"Fallen":0,"Attempts":0,"Tries":0,"RSSMB":0,"PeakFraction":0,"CPU":0,"Ordered":null,"Unheld":0,"Copies":0,"Cross":0,` +
		`"Ways":{"a \u003e b":{"Bytes":0,"Lost":0,"Taken":0,"Resets":0}},"Verdicts":[0,0,0,0,0,0,0,0,0,0,0,0,0,0],"Kept":0,"Pauses":0,` +
		`"LongestPause":0,"Late":0,"SlowestDrain":0,"Events":[{"At":0,"Who":"","Text":"","Zone":""}]}`
	if string(raw) != want {
		t.Errorf("got  %s\nwant %s", raw, want)
	}
}

// A zone is lost with its engines and gateways, and returns with cold engines. The other zones must take over, send
// nothing to it meanwhile, and give it its share of the work again without an overload.
func TestZoneLossAndReturn(t *testing.T) {
	t.Parallel()
	report := playScript(t, threeZones+siteSettings+`
load   = 0.5
length = "16s"
`+
		fault("lose", `of = "hall-a"`, `at = "3s"`, `for = "4s"`, `unlisted = "2s"`))
	checkServedShare(t, report, 5, 7, 0.9, "while the zone was lost")
	checkServedShare(t, report, 12, 16, 0.95, "after the return")
	if p := report.WorkByZone(13, 16); p[0] < 0.2 {
		t.Errorf("6 s after its return the zone gets %.2f of the work, want at least 0.2", p[0])
	}
	if p := report.WorkByZone(5, 7); p[0] > 0.05 {
		t.Errorf("the lost zone gets %.2f of the work, want at most 0.05", p[0])
	}
	if report.GatewaysEntered("hall-a", "lost") < 4 || report.ColdOverloads > 0 {
		t.Errorf("%d gateways logged the loss, want at least 4; %d overloads of cold engines, want none", report.GatewaysEntered("hall-a", "lost"), report.ColdOverloads)
	}
}

// A zone flaps every 2.2 s. Each gateway may use it again at most twice in six flaps, and the other zones must
// continue to serve.
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
	checkServedShare(t, report, 9, 15, 0.9, "after the third flap")
	losses, returnsByGateway := 0, map[string]int{}
	for _, e := range report.Events {
		switch {
		case e.Zone != "hall-a" || e.At > 2*time.Second+flaps*every:
		case strings.HasSuffix(e.Text, "> lost"):
			losses++
		case strings.HasSuffix(e.Text, "> returning"):
			if returnsByGateway[e.Source]++; returnsByGateway[e.Source] > 2 {
				t.Errorf("%s uses the zone again at %v, return %d in %d flaps", e.Source, e.At, returnsByGateway[e.Source], flaps)
			}
		}
	}
	if losses == 0 {
		t.Error("no gateway logged a loss of the zone, so the test checked nothing")
	}
}

// One direction is cut: queries from other zones reach a zone's engines, but the responses do not arrive. No
// request that is not idempotent may be sent twice, each client must get its response in time, and the zone's own
// gateways must continue to serve.
func TestResponsesCutOff(t *testing.T) {
	t.Parallel()
	report := playScript(t, threeZones+siteSettings+`
load   = 0.5
length = "12s"
`+
		fault("burst", `of = "hall-b"`, `at = "1s"`, `for = "10s"`, `factor = 2`)+
		fault("cut", `from = "hall-a"`, `to = "gateways"`, `at = "3s"`, `for = "4s"`))
	checkServedShare(t, report, 4, 7, 0.85, "while responses were cut off")
	checkServedShare(t, report, 9, 12, 0.95, "after the cut")
}

// A zone is cut off from the other zones in both directions, but not from its clients. All zones must continue to
// serve.
func TestPartitionedZoneServesAlone(t *testing.T) {
	t.Parallel()
	report := playScript(t, threeZones+siteSettings+`
load   = 0.5
length = "11s"
`+
		fault("cut", `from = "hall-a"`, `to = "hall-b"`, `both = true`, `at = "3s"`, `for = "5s"`)+
		fault("cut", `from = "hall-a"`, `to = "hall-c"`, `both = true`, `at = "3s"`, `for = "5s"`))
	checkServedShare(t, report, 4, 8, 0.95, "while a zone was cut off")
	if p := report.WorkByZone(4, 8); p[0] < 0.25 {
		t.Errorf("the zone that is cut off serves %.2f of the work, want at least 0.25", p[0])
	}
}

// A zone is drained by the operator's file while the name service is silent, and another zone is lost meanwhile. In
// the third zone one gateway is restarted during the loss, and another is frozen and resumed.
func TestZoneLossWhileAnotherDrainsWithoutNameService(t *testing.T) {
	t.Parallel()
	report := playScript(t, threeZones+strings.Replace(siteSettings, "ramp", "drain_over = \"2s\"\n  ramp", 1)+`
load   = 0.25
length = "17s"
`+
		fault("dark", `at = "1s"`, `for = "10s"`)+
		fault("drain", `of = "hall-b"`, `at = "2s"`, `for = "8s"`)+
		fault("lose", `of = "hall-a"`, `at = "5s"`, `for = "4s"`, `unlisted = "1s"`)+
		fault("kill", `of = "hall-c/g1"`, `at = "6s"`, `for = "500ms"`)+
		fault("freeze", `of = "hall-c/g0"`, `at = "8s"`, `for = "1s"`))
	checkServedShare(t, report, 6, 8, 0.8, "with one zone of three")
	if p := report.WorkByZone(6, 8); p[1] > 0.1 || p[0] > 0.05 {
		t.Errorf("zones get %.2f of the work with the first zone lost and the second drained, want at most 0.05 and 0.1", p)
	}
	checkServedShare(t, report, 14, 17, 0.95, "at the end")
	if p := report.WorkByZone(14, 17); p[1] < 0.15 {
		t.Errorf("zones get %.2f of the work at the end, want at least 0.15 for the second, which was drained before", p)
	}
}

// The smaller of two zones takes over when the larger one is lost, with load shedding: the class with the least
// weight for its work must be rejected, the class with the most weight for its work mostly not.
func TestSmallZoneTakesOver(t *testing.T) {
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
`+
		fault("lose", `of = "big"`, `at = "3s"`, `for = "6s"`, `unlisted = "1s"`))
	var rejected [3]float64 // fraction of first attempts that were rejected, by class
	for c := range rejected {
		for _, s := range report.Seconds[5:9] {
			rejected[c] += float64(s.Rejected[c]) / float64(report.Classes[c].Requests) * float64(len(report.Seconds)) / 4
		}
	}
	if rejected[1] < 0.2 || rejected[0] > rejected[1]/2 {
		t.Errorf("with a quarter of the engines, %.2f of the first attempts are rejected by class; the first class has the most weight for its work, the second the least", rejected)
	}
	checkServedShare(t, report, 15, 18, 0.93, "after the return")
}

// An invalid script is rejected with an error that names the reason.
func TestInvalidScripts(t *testing.T) {
	base := threeZones + "load = 0.5\nlength = \"5s\"\n"
	for text, want := range map[string]string{
		base + "talk = true\nvoters = -1\n":                               "voters need talk",
		"load = 0.5\nlength = \"5s\"\ncores = 4\n":                        "0 gateways and 0 engines",
		threeZones + "load = 0.5\nlength = \"5m\"\n":                      "at most 3m0s",
		threeZones + "load = 0.5\nlength = \"soon\"\n":                    "\"soon\" is not a duration of at least 0",
		base + "fault \"flood\" {\n  at = \"1s\"\n}\n":                    "unknown fault \"flood\"",
		base + "fault \"kill\" {\n  at = \"1s\"\n}\n":                     "kill needs `of`",
		base + "fault \"cut\" {\n  at = \"1s\"\n  from = \"hall-a\"\n}\n": "cut needs `from` and `to`",
		base + "fault \"kill\" {\n  at = \"1s\"\n  of = \"hall-a/g7\"\n}": "no party or zone is called \"hall-a/g7\"",
		base + "fault \"slow\" {\n  at = \"1s\"\n  of = \"engines\"\n}":   "needs a factor",
	} {
		if _, err := ParseScript([]byte(text), "x.hcl"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s\ngot %v, want %q", text, err, want)
		}
	}
}

// Guards against new processes that are taken for those at whose addresses they come up: engines end, and others with new
// ids start there cold, while the list has both. The former ones are not used, and the new ones are not overloaded.
func TestEnginesReplacedAtTheirAddresses(t *testing.T) {
	text := threeZones + "length = \"16s\"\nload = 0.5\noverload = 2.0\n" +
		fault("retire", `of = "hall-a"`, `at = "4s"`, `for = "5s"`, `text = "replaced"`) +
		fault("retire", `of = "hall-b/e0"`, `at = "5s"`, `for = "4s"`, `text = "replaced"`)
	report := playScript(t, text)
	checkServedShare(t, report, 1, 4, 0.9, "before")
	checkServedShare(t, report, 13, 16, 0.8, "at the end")
}
