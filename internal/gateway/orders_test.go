package gateway

import (
	"fmt"
	"strings"
	"testing"

	"foxlane/internal/config"
	"foxlane/internal/directives"
	"foxlane/rules"
)

const talkText = "members {\n  bind = \"127.0.0.1:7946\"\n}\n"

// A gateway that votes alone carries out what it is ordered, keeps the rules meanwhile, and goes back when the order is taken back.
func TestOrdersAreCarriedOut(t *testing.T) {
	text := talkText + "directives {\n  voters = [\"n0\"]\n}\nsites {\n  ramp = \"1s\"\n  drain_over = \"1s\"\n}\n"
	w := newWorldWith(t, 4, 0, planned(t, text))
	w.step(Event{Kind: VoterLogOpened, VoterState: &directives.Kept{Born: true}})
	for at := rules.Time(0); at < 24*rules.Second; at += 12 * rules.Millisecond {
		w.after(at, w.request)
	}
	order := func(at rules.Time, op, kind, subject string) {
		w.after(at, func() {
			w.step(Event{Kind: ControlRequest, Conn: 7, Data: fmt.Appendf(nil, `{"id":"%s-%s-%s","op":%q,"kind":%q,"subject":%q}`, op, kind, subject, op, kind, subject)})
		})
	}
	order(3*rules.Second, "set", "drain-engine", "s-00000001")
	order(6*rules.Second, "unset", "drain-engine", "s-00000001")
	order(9*rules.Second, "set", "drain-zone", "hall-a")
	order(14*rules.Second, "unset", "drain-zone", "hall-a")
	order(18*rules.Second, "set", "refuse-class", "point")
	order(21*rules.Second, "set", "dance", "all")
	w.after(22*rules.Second, func() { w.step(Event{Kind: ControlRequest, Conn: 8, Data: []byte("book")}) })
	w.run(w.start + 24*rules.Second)
	engine := func(id string, from, to rules.Time) (n int) {
		for _, r := range w.taken {
			for _, a := range r.attempts {
				if a.engine.host.ID == id && a.at >= w.start+from && a.at < w.start+to {
					n++
				}
			}
		}
		return n
	}
	if before, during, after := engine("s-00000001", rules.Second, 3*rules.Second), engine("s-00000001", 3100*rules.Millisecond, 6*rules.Second),
		engine("s-00000001", 6100*rules.Millisecond, 9*rules.Second); before == 0 || during > 0 || after == 0 {
		t.Errorf("the drained engine got %d, %d and %d attempts before, during and after", before, during, after)
	}
	if during, after := w.sentTo("hall-a", 11*rules.Second, 14*rules.Second), w.sentTo("hall-a", 16*rules.Second, 18*rules.Second); during > 3 || after < 20 {
		t.Errorf("the drained zone got %d and %d attempts during and after", during, after)
	}
	served := 0
	for _, r := range w.taken {
		if r.class == 0 && r.at > w.start+18200*rules.Millisecond && len(r.attempts) > 0 {
			served++
		}
	}
	if served > 0 || w.refused < 50 {
		t.Errorf("%d requests of the class that is refused were sent on, %d were refused", served, w.refused)
	}
	holds, unknown, book := 0, 0, 0
	for _, s := range w.said {
		switch {
		case strings.HasPrefix(s, `{"index":`) && !strings.Contains(s, "held"):
			holds++
		case strings.Contains(s, "unknown kind"):
			unknown++
		case strings.Contains(s, `"held":[{"kind":"refuse-class"`):
			book++
		}
	}
	if holds != 5 || unknown != 1 || book != 1 {
		t.Errorf("answers: %v", w.said)
	}
	for _, b := range w.broken {
		t.Error(b)
	}
}

// A gateway whose talk is switched off and on serves on; without the block a question is answered with an error.
func TestTalkComesAndGoes(t *testing.T) {
	w := newWorldWith(t, 5, 0.4, planned(t, talkText))
	n := 0
	w.retune = func(c *config.Config) {
		if n++; n%2 == 1 {
			c.Site = mustSite(t, "fair {}\n")
			c.Site.Fair = nil
		} else {
			c.Site = mustSite(t, talkText)
		}
		w.step(Event{Kind: ControlRequest, Conn: 8, Data: []byte("members")})
		w.step(Event{Kind: PeerNotified, Peer: &PeerEvent{Kind: PeerJoined, Name: "n1", Zone: "hall-a"}})
		w.step(Event{Kind: PeerNotified, Data: []byte("garbage"), Peer: &PeerEvent{Kind: PeerCame, Name: "n1", Channel: ChannelCopies}})
	}
	w.play(6 * rules.Second)
	on, off := 0, 0
	for _, s := range w.said {
		if strings.Contains(s, "talk is off") {
			off++
		} else if strings.Contains(s, `"us":true`) {
			on++
		}
	}
	if on == 0 || off == 0 {
		t.Errorf("answers: %v", w.said)
	}
	for _, b := range w.broken[:min(len(w.broken), 5)] {
		t.Error(b)
	}
}
