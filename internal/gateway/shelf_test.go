package gateway

import (
	"bytes"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"testing"

	"foxlane/internal/config"
	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
	"foxlane/internal/standin"
	"foxlane/rules"
)

func keepResults(t testing.TB, text string) func(*config.Config) {
	s := mustSite(t, text)
	return func(c *config.Config) { c.Site = s }
}

const (
	memorySpool = "spool {\n memory = \"4MB\"\n}\n"
	diskSpool   = "spool {\n folder = \"/nowhere\"\n threshold = \"0B\"\n}\n"
)

// The seven rules hold with results kept, in memory and on a disk that fails at times, with the door and without.
func TestRulesWithResultsKept(t *testing.T) {
	for name, text := range map[string]string{"memory": memorySpool, "disk": diskSpool, "disk and door": diskSpool + "fair {\n}\n"} {
		for _, rough := range []float64{0, 0.4, 1} {
			for seed := range uint64(5) {
				t.Run(fmt.Sprintf("%s rough %v seed %d", name, rough, seed), func(t *testing.T) {
					w := newWorldWith(t, seed, rough, keepResults(t, text))
					w.play(6 * rules.Second)
					for _, b := range w.broken[:min(len(w.broken), 5)] {
						t.Error(b)
					}
					if w.sent < 250 || w.served < 100 {
						t.Errorf("only %d attempts and %d served: the test has lost its subject", w.sent, w.served)
					}
					s := w.g.shelf.spool.Stats()
					if s.Whole < 100 || s.Results != 0 || s.Readers != 0 || s.Memory != 0 || s.Disk != 0 || len(w.g.shelf.filling) != 0 {
						t.Errorf("left on the shelf: %+v, %d on their way", s, len(w.g.shelf.filling))
					}
				})
			}
		}
	}
}

// spoolBench is a bench whose spool has a disk, that does all at once unless it is told to wait.
type spoolBench struct {
	*bench
	records [][]byte
	held    []spool.Effect
	waits   bool
	fails   bool
	watched map[ConnID]bool
}

func newSpoolBench(t *testing.T, text string) *spoolBench {
	b := &spoolBench{bench: &bench{t: t, now: 1_700_000_000 * rules.Second, sent: map[ConnID][]byte{}, shut: map[ConnID]bool{}, taken: map[ConnID]int64{}},
		watched: map[ConnID]bool{}}
	cfg := worldConfig(t, []standin.Host{oneHost})
	keepResults(t, text)(&cfg)
	b.g = New(cfg, b.now)
	b.run(Event{})
	return b
}

func (b *spoolBench) run(e Event) {
	if e.Kind != 0 {
		b.g.Step(b.now, e)
	}
	for again := true; again; {
		again = false
		for _, f := range slices.Clone(b.g.Flush()) {
			switch f.Kind {
			case Write:
				b.sent[f.Conn] = append(b.sent[f.Conn], f.Data...)
			case CloseConnection:
				b.shut[f.Conn] = true
			case Dial:
				b.dials = append(b.dials, f.Conn)
			case NotifyDrained:
				b.watched[f.Conn] = true
			case Exit:
				b.exit = true
			case SubmitSpool:
				b.held = append(b.held, f.Spool)
			}
		}
		if !b.waits && len(b.held) > 0 {
			again = true
			b.work()
		}
	}
}

// work lets the disk do what waits.
func (b *spoolBench) work() {
	held := b.held
	b.held = nil
	for _, f := range held {
		var events []spool.Event
		switch f.Kind {
		case spool.Write:
			place := spool.Place{Segment: 1, Offset: int64(len(b.records)), Size: int32(segment.Size(len(f.Data)))}
			b.records = append(b.records, bytes.Clone(f.Data))
			events = append(events, spool.Event{Kind: spool.Written, ID: f.ID, Record: f.Record, N: f.N, Place: place, Err: b.fails})
			if f.Record == segment.Seal && !b.fails {
				events = append(events, spool.Event{Kind: spool.Synced, ID: f.ID})
			}
		case spool.Load:
			events = append(events, spool.Event{Kind: spool.Read, ID: f.ID, Reader: f.Reader, N: f.N, Data: b.records[f.Place.Offset], Err: b.fails})
		default:
			continue
		}
		b.g.Step(b.now, Event{Kind: SpoolCompleted, Spool: events})
	}
}

func (b *spoolBench) data(id ConnID, text string) {
	b.run(Event{Kind: DataReceived, Conn: id, Data: []byte(text)})
}

func (b *spoolBench) connect(id ConnID) {
	b.run(Event{Kind: ConnectionAccepted, Conn: id})
	b.data(id, string(login()))
	b.after(id)
}

// bigPage is page n of a result that the engine gives in many.
func bigPage(n int) string {
	return strings.Repeat(fmt.Sprintf("%d\tfield\t%s\n", n, strings.Repeat("x", 180)), 25)
}

// begin asks for a result of so many pages and lets the engine give the first.
func (b *spoolBench) begin(client ConnID, class, id, more string, pages int) (link ConnID) {
	b.data(client, string(query(fmt.Sprintf("/* kind=%s,req=%s,timeout=2000%s */ SELECT 1 FROM sales_1.x", class, id, more))))
	if len(b.dials) == 0 {
		return 0
	}
	link = b.dials[len(b.dials)-1]
	b.run(Event{Kind: DialSucceeded, Conn: link})
	b.after(link)
	p := bigPage(0)
	b.data(link, fmt.Sprintf("%s served total=%d %d\r\n%s\r\n", id, pages, len(p), p))
	return link
}

var nextCommand = regexp.MustCompile(`NEXT ([0-9a-f]{16}) (\d+)\r\n`)

// engine answers all that the engine is asked for, until it is freed. It returns the commands that it saw.
func (b *spoolBench) engine(link ConnID) (saw string) {
	for {
		got := b.after(link)
		saw += got
		asks := nextCommand.FindAllStringSubmatch(got, -1)
		if len(asks) == 0 {
			return saw
		}
		for _, m := range asks {
			n := 0
			fmt.Sscan(m[2], &n)
			p := bigPage(n)
			b.data(link, fmt.Sprintf("%s rows index=%d %d\r\n%s\r\n", m[1], n, len(p), p))
		}
	}
}

// read lets a client take what is written to it, to the end, and returns the rows: columns joined by tabs.
func (b *spoolBench) read(id ConnID, chunks int) (rows []string, end string) {
	var all []byte
	for range chunks {
		all = append(all, b.after(id)...)
		if !b.watched[id] {
			break
		}
		delete(b.watched, id)
		b.run(Event{Kind: WriteDrained, Conn: id})
	}
	all = append(all, b.after(id)...)
	ends, n := 0, 0
	for len(all) >= 4 {
		size := int(all[0]) | int(all[1])<<8 | int(all[2])<<16
		if int(all[3]) != (n+1)%256 {
			b.t.Fatalf("packet %d has sequence number %d", n+1, all[3])
		}
		p := all[4 : 4+size]
		all = all[4+size:]
		n++
		switch {
		case p[0] == 0xff:
			return rows, string(p[9:])
		case p[0] == 0xfe && size < 9:
			if ends++; ends == 2 {
				return rows, "end"
			}
		case ends == 1:
			var cells []string
			for len(p) > 0 {
				k := int(p[0])
				cells = append(cells, string(p[1:1+k]))
				p = p[1+k:]
			}
			rows = append(rows, strings.Join(cells, "\t"))
		}
	}
	return rows, "cut short"
}

func wantRows(from, to int) (rows []string) {
	for n := from; n < to; n++ {
		rows = append(rows, strings.Split(strings.TrimSuffix(bigPage(n), "\n"), "\n")...)
	}
	return rows
}

// plain are the rows without those that tell of the spool, and the handle and the chunks that these tell.
func plain(rows []string) (out []string, handle string, pages []int) {
	for _, r := range rows {
		switch f := strings.Split(r, "\t"); f[0] {
		case "#handle":
			handle = f[1]
		case "#page":
			n := 0
			fmt.Sscan(f[1], &n)
			pages = append(pages, n)
		default:
			out = append(out, r)
		}
	}
	return out, handle, pages
}

// The engine is free as soon as it has given all, while the client has not read a byte; and the client gets
// every row, far beyond what a gateway holds.
func TestEngineIsFreeWhateverTheClientDoes(t *testing.T) {
	for name, text := range map[string]string{"memory": memorySpool, "disk": diskSpool} {
		b := newSpoolBench(t, text)
		b.connect(1)
		link := b.begin(1, "point", idA, "", 150) // 700 KB
		saw := b.engine(link)
		if !strings.HasSuffix(saw, "FREE "+idA+"\r\n") {
			t.Fatalf("%s: the engine saw %.80q ... %.60q", name, saw, saw[max(0, len(saw)-60):])
		}
		if r := b.g.requests[idA]; r != nil {
			t.Errorf("%s: the request is still open", name)
		}
		first := len(b.sent[1])
		if first > 128<<10 {
			t.Errorf("%s: %d bytes are written to a client that has read none", name, first)
		}
		rows, end := b.read(1, 1000)
		if end != "end" || !slices.Equal(rows, wantRows(0, 150)) {
			t.Errorf("%s: %d rows of %d, %s", name, len(rows), len(wantRows(0, 150)), end)
		}
		if s := b.g.shelf.spool.Stats(); s.Results != 0 || s.Memory != 0 {
			t.Errorf("%s: left %+v", name, s)
		}
		b.data(1, string(query("SET x = 1"))) // and the session goes on
		if b.shut[1] || b.after(1) == "" {
			t.Errorf("%s: the session is of no more use", name)
		}
	}
}

// A client that leaves half way reads on from where it was, on another connection, without the query running again.
func TestResumeReadsOnWithoutRunningAgain(t *testing.T) {
	b := newSpoolBench(t, diskSpool)
	b.connect(1)
	link := b.begin(1, "point", idA, ",spool=1", 60)
	b.engine(link)
	rows, _ := b.read(1, 3)
	got, handle, pages := plain(rows)
	if len(handle) != spool.HandleSize || len(pages) < 2 {
		t.Fatalf("handle %q, chunks %v", handle, pages)
	}
	b.run(Event{Kind: ConnectionClosed, Conn: 1})
	asks := b.after(link)
	b.connect(2)
	last := pages[len(pages)-1]
	// The rows behind the last whole chunk are read again.
	whole := 0
	for i, r := range rows {
		if strings.HasPrefix(r, fmt.Sprintf("#page\t%d\t", last)) {
			whole = i + 1
		}
	}
	got, _, _ = plain(rows[:whole])
	b.data(2, string(query(fmt.Sprintf("/* resume=%s,page=%d,timeout=2000 */ FETCH", handle, last+1))))
	rest, end := b.read(2, 1000)
	more, again, _ := plain(rest)
	if end != "end" || again != handle || !slices.Equal(append(got, more...), wantRows(0, 60)) {
		t.Errorf("%s: %d rows and %d more of %d", end, len(got), len(more), len(wantRows(0, 60)))
	}
	if asks += b.after(link); strings.Contains(asks, "ASK") {
		t.Error("the query ran again")
	}
	// It is kept until it is acknowledged: a second read of all, then not any more.
	b.data(2, string(query(fmt.Sprintf("/* resume=%s */ FETCH", handle))))
	rest, end = b.read(2, 1000)
	if all, _, _ := plain(rest); end != "end" || !slices.Equal(all, wantRows(0, 60)) {
		t.Errorf("read twice: %s, %d rows", end, len(all))
	}
	b.data(2, string(query(fmt.Sprintf("/* release=%s */ FETCH", handle))))
	if out := b.after(2); len(out) < 5 || out[4] != 0 {
		t.Errorf("release: %q", out)
	}
	if s := b.g.shelf.spool.Stats(); s.Results != 0 || s.Disk != 0 {
		t.Errorf("left %+v", s)
	}
}

// Whatever is wrong with a handle, the words are the same.
func TestHandlesThatAreNone(t *testing.T) {
	b := newSpoolBench(t, memorySpool)
	b.connect(1)
	b.engine(b.begin(1, "point", idA, ",spool=1", 3))
	rows, _ := b.read(1, 10)
	_, handle, _ := plain(rows)
	b.connect(2)
	words := map[string]bool{}
	for _, h := range []string{"", "0", strings.Repeat("0", 64), handle[:32] + strings.Repeat("0", 32), handle + ",owner=other",
		handle + ",page=99", strings.ToUpper(handle)} {
		b.data(2, string(query(fmt.Sprintf("/* resume=%s */ FETCH", h))))
		out := b.after(2)
		if len(out) < 13 || out[4] != 0xff {
			t.Fatalf("%q: %q", h, out)
		}
		words[out[13:]] = true
		if !strings.Contains(h, "page") {
			b.data(2, string(query(fmt.Sprintf("/* release=%s */ FETCH", h))))
			b.after(2)
		}
	}
	if len(words) != 1 {
		t.Errorf("denials differ: %v", words)
	}
	if s := b.g.shelf.spool.Stats(); s.Results != 1 {
		t.Errorf("a denied release took effect: %+v", s)
	}
	for _, bad := range []string{"/* resume=" + handle + ",page=-1 */ x", "/* resume=" + handle + ",page=x */ x", "/* resume=" + handle + ",resume=" + handle + " */ x"} {
		b.data(2, string(query(bad)))
		if out := b.after(2); len(out) < 9 || out[4] != 0xff {
			t.Errorf("%s: %q", bad, out)
		}
	}
}

// A full spool refuses before anything runs, and the refusal names a time.
func TestFullSpoolIsARefusal(t *testing.T) {
	b := newSpoolBench(t, "spool {\n memory = \"128KB\"\n result = \"128KB\"\n tenant = \"128KB\"\n}\n")
	b.connect(1)
	b.engine(b.begin(1, "point", idA, ",spool=1", 20)) // 93 KB, and it is not read
	b.read(1, 100)
	b.connect(2)
	b.data(2, askAs("point", idB, ",spool=1"))
	out := b.after(2)
	if !strings.Contains(out, "refused; holdoff=") {
		t.Errorf("got %q", out)
	}
	if n := len(b.g.requests); n != 0 {
		t.Errorf("%d requests are open", n)
	}
}

// A result that fits nowhere ends with an error: failed where it may have run and must not again, else refused
// or, if it never can be kept, failed. The engine is given up.
func TestResultThatCanNotBeKept(t *testing.T) {
	for _, c := range []struct {
		class, want string
		pages       int
	}{{"point", "could not be kept: size", 40}, {"load", "could not be kept: size", 40}} {
		b := newSpoolBench(t, "spool {\n memory = \"128KB\"\n result = \"64KB\"\n tenant = \"128KB\"\n}\n")
		b.connect(1)
		link := b.begin(1, c.class, idA, "", c.pages)
		saw := b.engine(link)
		out := b.after(1)
		if !strings.Contains(out, c.want) || strings.Contains(out, "refused") {
			t.Errorf("%s: %q", c.class, out)
		}
		if !strings.Contains(saw, "FREE "+idA) || strings.Count(saw, "ASK") > 0 || len(b.g.requests) != 0 {
			t.Errorf("%s: the engine saw %q, %d requests are open", c.class, saw[max(0, len(saw)-80):], len(b.g.requests))
		}
	}
}

// A disk that fails while a lasting result is sealed: the client hears of it, by what its class allows.
func TestDiskFailsUnderAResult(t *testing.T) {
	for class, want := range map[string]string{"point": "the query was refused", "load": "could not be kept: disk"} {
		b := newSpoolBench(t, diskSpool)
		b.connect(1)
		b.fails = true
		b.engine(b.begin(1, class, idA, ",spool=1", 5))
		if out := b.after(1); !strings.Contains(out, want) || strings.Contains(out, "#handle") {
			t.Errorf("%s: %q", class, out)
		}
		if s := b.g.shelf.spool.Stats(); s.Results != 0 || len(b.g.requests) != 0 {
			t.Errorf("%s: left %+v", class, s)
		}
	}
	// It hangs: the client has its answer in time.
	b := newSpoolBench(t, diskSpool)
	b.connect(1)
	b.waits = true
	b.engine(b.begin(1, "point", idA, ",spool=1", 3))
	if out := b.after(1); out != "" {
		t.Fatalf("answered before it is safe: %q", out)
	}
	for end := b.now + 2*rules.Second; b.now < end; b.now += 10 * rules.Millisecond {
		b.run(Event{Kind: TimerFired})
	}
	if out := b.after(1); !strings.Contains(out, "failed") || len(b.g.requests) != 0 {
		t.Errorf("a disk that hangs: %q", out)
	}
	b.waits = false
	b.run(Event{Kind: TimerFired})
	if s := b.g.shelf.spool.Stats(); s.Results != 0 {
		t.Errorf("left %+v", s)
	}
}

// A result that is lost while it is read ends with an error, not with an end.
func TestResultLostWhileRead(t *testing.T) {
	b := newSpoolBench(t, diskSpool)
	b.connect(1)
	b.engine(b.begin(1, "point", idA, "", 60))
	b.fails = true
	rows, end := b.read(1, 1000)
	if !strings.Contains(end, "the result was lost") || len(rows) >= len(wantRows(0, 60)) {
		t.Errorf("%d rows, then %q", len(rows), end)
	}
}

// The engine dies half way: another attempt gives all, and nothing of the first is in it.
func TestEngineDiesHalfWay(t *testing.T) {
	b := newSpoolBench(t, memorySpool)
	b.connect(1)
	link := b.begin(1, "point", idA, "", 30)
	b.after(link)
	b.run(Event{Kind: ConnectionClosed, Conn: link, AcceptedBytes: math.MaxInt64})
	b.run(Event{Kind: TimerFired})
	if out := b.after(1); out != "" {
		t.Fatalf("the client has %q", out)
	}
	link2 := b.dials[len(b.dials)-1]
	if link2 == link {
		t.Fatal("no further attempt")
	}
	b.run(Event{Kind: DialSucceeded, Conn: link2})
	b.after(link2)
	p := bigPage(0)
	b.data(link2, fmt.Sprintf("%s served total=30 %d\r\n%s\r\n", idA, len(p), p))
	b.engine(link2)
	if rows, end := b.read(1, 100); end != "end" || !slices.Equal(rows, wantRows(0, 30)) {
		t.Errorf("%s, %d rows", end, len(rows))
	}
}

// KILL ends an answer that is being read, and a command meanwhile is out of order.
func TestKillWhileReading(t *testing.T) {
	b := newSpoolBench(t, memorySpool)
	b.connect(1)
	b.engine(b.begin(1, "point", idA, "", 60))
	b.after(1)
	b.connect(2)
	b.data(2, string(query(fmt.Sprintf("KILL QUERY %d", b.g.clients[1].session))))
	b.run(Event{Kind: WriteDrained, Conn: 1})
	if out := b.after(1); out != "" || !b.shut[1] {
		t.Errorf("after KILL the client got %d bytes", len(out))
	}
	if s := b.g.shelf.spool.Stats(); s.Results != 0 || s.Readers != 0 {
		t.Errorf("left %+v", s)
	}
	b.connect(3)
	b.engine(b.begin(3, "point", idB, "", 60))
	b.after(3)
	b.data(3, string(query("SET x = 1")))
	if !b.shut[3] {
		t.Error("a command while an answer is read was taken")
	}
}
