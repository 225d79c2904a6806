package gateway

import (
	"bytes"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"foxlane/internal/config"
	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
	"foxlane/rules"
)

// withSpool returns a change of the configuration that sets the site file to text.
func withSpool(t testing.TB, text string) func(*config.Config) {
	s := parseSite(t, text)
	return func(cfg *config.Config) { cfg.Site = s }
}

const (
	memorySpoolSite = "spool {\n memory = \"4MB\"\n}\n"
	diskSpoolSite   = "spool {\n folder = \"/nowhere\"\n threshold = \"0B\"\n}\n"
)

// The seven rules hold with results stored in memory or on a disk that fails at times, and with admission control.
func TestRulesWithSpool(t *testing.T) {
	for name, text := range map[string]string{"memory": memorySpoolSite, "disk": diskSpoolSite, "disk and admission control": diskSpoolSite + "fair {\n}\n"} {
		for _, faultRate := range []float64{0, 0.4, 1} {
			for seed := range seeds(5) {
				t.Run(fmt.Sprintf("%s fault rate %v seed %d", name, faultRate, seed), func(t *testing.T) {
					sim := newSimulationWith(t, seed, faultRate, withSpool(t, text))
					sim.play(6 * rules.Second)
					sim.reportViolations()
					if sim.attemptsReceived < 250 || sim.served < 100 {
						t.Errorf("only %d attempts and %d served: the test covers too little", sim.attemptsReceived, sim.served)
					}
					stats := sim.g.results.spool.Stats()
					if stats.Completed < 100 || stats.Results != 0 || stats.Readers != 0 || stats.MemoryBytes != 0 || stats.DiskBytes != 0 || len(sim.g.results.filling) != 0 {
						t.Errorf("left in the result store: %+v, %d results being filled", stats, len(sim.g.results.filling))
					}
				})
			}
		}
	}
}

// spoolGateway is a testGateway with a spool. Its disk completes operations at once unless it is paused.
type spoolGateway struct {
	*testGateway
	records       [][]byte
	pendingDisk   []spool.DiskEffect
	diskPaused    bool
	diskFails     bool
	awaitingDrain map[ConnID]bool
	unsentLimits  map[ConnID][]int // by LimitUnsent, in order
}

func newSpoolGateway(t *testing.T, text string) *spoolGateway {
	gw := &spoolGateway{testGateway: startTestGateway(t, withSpool(t, text), oneHost), awaitingDrain: map[ConnID]bool{},
		unsentLimits: map[ConnID][]int{}}
	gw.stepWithDisk(nil)
	return gw
}

// stepWithDisk passes event, which may be nil, to the gateway, and executes the effects and the disk operations.
func (gw *spoolGateway) stepWithDisk(event Event) {
	if event != nil {
		gw.g.Step(gw.now, event)
	}
	for progressed := true; progressed; {
		progressed = false
		for _, effect := range slices.Clone(gw.g.Flush()) {
			switch effect := effect.(type) {
			case *Write:
				gw.output[effect.Conn] = append(gw.output[effect.Conn], effect.Data...)
			case CloseConnection:
				gw.closed[effect.Conn] = true
			case Dial:
				gw.dials = append(gw.dials, effect.Conn)
			case NotifyDrained:
				gw.awaitingDrain[effect.Conn] = true
			case LimitUnsent:
				gw.unsentLimits[effect.Conn] = append(gw.unsentLimits[effect.Conn], effect.Bytes)
			case Exit:
				gw.exited = true
			case SubmitSpool:
				gw.pendingDisk = append(gw.pendingDisk, effect.Effect)
			}
		}
		if !gw.diskPaused && len(gw.pendingDisk) > 0 {
			progressed = true
			gw.runDisk()
		}
	}
}

// runDisk executes the pending disk operations.
func (gw *spoolGateway) runDisk() {
	pending := gw.pendingDisk
	gw.pendingDisk = nil
	for _, effect := range pending {
		var events []spool.Event
		switch effect := effect.(type) {
		case spool.WriteRecord:
			location := spool.Location{Segment: 1, Offset: int64(len(gw.records)), Size: int32(segment.RecordSize(len(effect.Data)))}
			gw.records = append(gw.records, bytes.Clone(effect.Data))
			events = append(events, spool.RecordWritten{ID: effect.ID, Record: effect.Record, Index: effect.Index, Location: location, Failed: gw.diskFails})
			if effect.Record == segment.Seal && !gw.diskFails {
				events = append(events, spool.ResultSynced{ID: effect.ID})
			}
		case spool.LoadChunk:
			events = append(events, spool.ChunkLoaded{Reader: effect.Reader, Index: effect.Index, Data: gw.records[effect.Location.Offset], Failed: gw.diskFails})
		default:
			continue
		}
		gw.g.Step(gw.now, SpoolCompleted{Events: events})
	}
}

// receiveData passes data received on a connection to the gateway.
func (gw *spoolGateway) receiveData(id ConnID, text string) {
	gw.stepWithDisk(&DataReceived{Conn: id, Data: []byte(text)})
}

// login connects a client and logs it in.
func (gw *spoolGateway) login(id ConnID) {
	gw.stepWithDisk(ConnectionAccepted{Conn: id})
	gw.receiveData(id, string(loginPacket()))
	gw.takeOutput(id)
}

// bigPage returns page n of a large result.
func bigPage(n int) string {
	return strings.Repeat(fmt.Sprintf("%d\tfield\t%s\n", n, strings.Repeat("x", 180)), 25)
}

// parseInt parses a decimal number.
func parseInt(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// startResult sends a request for a result of the given number of pages and answers with the first page.
func (gw *spoolGateway) startResult(client ConnID, class, id, extraFields string, pages int) (connID ConnID) {
	return gw.startResultWithin(client, class, id, extraFields, pages, 2*rules.Second)
}

// startResultWithin is like startResult, for a client that waits for the given time.
func (gw *spoolGateway) startResultWithin(client ConnID, class, id, extraFields string, pages int, timeout rules.Time) (connID ConnID) {
	gw.receiveData(client, string(queryPacket(fmt.Sprintf("/* kind=%s,req=%s,timeout=%d%s */ SELECT 1 FROM sales_1.x", class, id, timeout/rules.Millisecond, extraFields))))
	if len(gw.dials) == 0 {
		return 0
	}
	connID = gw.dials[len(gw.dials)-1]
	gw.stepWithDisk(DialSucceeded{Conn: connID})
	gw.takeOutput(connID)
	p := bigPage(0)
	gw.receiveData(connID, fmt.Sprintf("%s served total=%d %d\r\n%s\r\n", id, pages, len(p), p))
	return connID
}

var nextCommand = regexp.MustCompile(`NEXT ([0-9a-f]{16}) (\d+)\r\n`)

// serveEngine answers all requests for pages until there are none, and returns the commands that the engine received.
func (gw *spoolGateway) serveEngine(connID ConnID) (received string) {
	for {
		got := gw.takeOutput(connID)
		received += got
		pageRequests := nextCommand.FindAllStringSubmatch(got, -1)
		if len(pageRequests) == 0 {
			return received
		}
		for _, m := range pageRequests {
			n := parseInt(gw.t, m[2])
			p := bigPage(n)
			gw.receiveData(connID, fmt.Sprintf("%s rows index=%d %d\r\n%s\r\n", m[1], n, len(p), p))
		}
	}
}

// readRows reads up to the given number of chunks of a result. It returns the rows, with columns joined by tabs, and
// how the result ended: "end", "cut short" or an error message.
func (gw *spoolGateway) readRows(id ConnID, chunks int) (rows []string, end string) {
	var all []byte
	for range chunks {
		all = append(all, gw.takeOutput(id)...)
		if !gw.awaitingDrain[id] {
			break
		}
		delete(gw.awaitingDrain, id)
		gw.stepWithDisk(WriteDrained{Conn: id})
	}
	all = append(all, gw.takeOutput(id)...)
	eofs, packets := 0, 0
	for len(all) >= 4 {
		size := int(all[0]) | int(all[1])<<8 | int(all[2])<<16
		if int(all[3]) != (packets+1)%256 {
			gw.t.Fatalf("packet %d has sequence number %d", packets+1, all[3])
		}
		p := all[4 : 4+size]
		all = all[4+size:]
		packets++
		switch {
		case p[0] == 0xff:
			return rows, string(p[9:])
		case p[0] == 0xfe && size < 9:
			if eofs++; eofs == 2 {
				return rows, "end"
			}
		case eofs == 1:
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

// wantRows returns the rows of the pages in the range [from, to).
func wantRows(from, to int) (rows []string) {
	for n := from; n < to; n++ {
		rows = append(rows, strings.Split(strings.TrimSuffix(bigPage(n), "\n"), "\n")...)
	}
	return rows
}

// splitRows separates the rows of the result from the handle and the page numbers in the rows that the spool adds.
func splitRows(t *testing.T, rows []string) (data []string, handle string, pages []int) {
	for _, r := range rows {
		switch f := strings.Split(r, "\t"); f[0] {
		case "#handle":
			handle = f[1]
		case "#page":
			pages = append(pages, parseInt(t, f[1]))
		default:
			data = append(data, r)
		}
	}
	return data, handle, pages
}

// The engine is freed as soon as it has sent all pages, even if the client has not read anything. The client gets every
// row of a result that is much larger than the data written ahead to it.
func TestEngineIsFreedBeforeClientReads(t *testing.T) {
	for name, text := range map[string]string{"memory": memorySpoolSite, "disk": diskSpoolSite} {
		gw := newSpoolGateway(t, text)
		gw.login(1)
		connID := gw.startResult(1, "point", idA, "", 150) // 700 KB
		saw := gw.serveEngine(connID)
		if !strings.HasSuffix(saw, "FREE "+idA+"\r\n") {
			t.Fatalf("%s: the engine got %.80q ... %.60q", name, saw, saw[max(0, len(saw)-60):])
		}
		if req := gw.g.requests[idA]; req != nil {
			t.Errorf("%s: the request is still in flight", name)
		}
		first := len(gw.output[1])
		if first > 128<<10 {
			t.Errorf("%s: %d bytes were written to a client that has read none", name, first)
		}
		rows, end := gw.readRows(1, 1000)
		if end != "end" || !slices.Equal(rows, wantRows(0, 150)) {
			t.Errorf("%s: %d rows of %d, ended with %q", name, len(rows), len(wantRows(0, 150)), end)
		}
		if stats := gw.g.results.spool.Stats(); stats.Results != 0 || stats.MemoryBytes != 0 {
			t.Errorf("%s: left %+v", name, stats)
		}
		gw.receiveData(1, string(queryPacket("SET x = 1"))) // the session can be used again
		if gw.closed[1] || gw.takeOutput(1) == "" {
			t.Errorf("%s: the session can't be used again", name)
		}
	}
}

// A client that disconnects halfway resumes its result on another connection. The query does not run again.
func TestResumeDoesNotRunAgain(t *testing.T) {
	gw := newSpoolGateway(t, diskSpoolSite)
	gw.login(1)
	connID := gw.startResult(1, "point", idA, ",spool=1", 60)
	gw.serveEngine(connID)
	rows, _ := gw.readRows(1, 3)
	_, handle, pages := splitRows(t, rows)
	if len(handle) != spool.HandleSize || len(pages) < 2 {
		t.Fatalf("handle %q, chunks %v", handle, pages)
	}
	gw.stepWithDisk(ConnectionClosed{Conn: 1})
	engineInput := gw.takeOutput(connID)
	gw.login(2)
	last := pages[len(pages)-1]
	// Rows after the last complete page are read again.
	complete := 0
	for i, r := range rows {
		if strings.HasPrefix(r, fmt.Sprintf("#page\t%d\t", last)) {
			complete = i + 1
		}
	}
	got, _, _ := splitRows(t, rows[:complete])
	gw.receiveData(2, string(queryPacket(fmt.Sprintf("/* resume=%s,page=%d,timeout=2000 */ FETCH", handle, last+1))))
	rest, end := gw.readRows(2, 1000)
	more, again, _ := splitRows(t, rest)
	if end != "end" || again != handle || !slices.Equal(append(got, more...), wantRows(0, 60)) {
		t.Errorf("%s: %d rows and %d more of %d", end, len(got), len(more), len(wantRows(0, 60)))
	}
	if engineInput += gw.takeOutput(connID); strings.Contains(engineInput, "ASK") {
		t.Error("the query was run again")
	}
	// The result is kept until it is released: it can be read again before that.
	gw.receiveData(2, string(queryPacket(fmt.Sprintf("/* resume=%s */ FETCH", handle))))
	rest, end = gw.readRows(2, 1000)
	if all, _, _ := splitRows(t, rest); end != "end" || !slices.Equal(all, wantRows(0, 60)) {
		t.Errorf("second read: %s, %d rows", end, len(all))
	}
	gw.receiveData(2, string(queryPacket(fmt.Sprintf("/* release=%s */ FETCH", handle))))
	if out := gw.takeOutput(2); len(out) < 5 || out[4] != 0 {
		t.Errorf("release was answered with %q", out)
	}
	if stats := gw.g.results.spool.Stats(); stats.Results != 0 || stats.DiskBytes != 0 {
		t.Errorf("left %+v", stats)
	}
}

// All invalid handles get the same error message.
func TestInvalidHandles(t *testing.T) {
	gw := newSpoolGateway(t, memorySpoolSite)
	gw.login(1)
	gw.serveEngine(gw.startResult(1, "point", idA, ",spool=1", 3))
	rows, _ := gw.readRows(1, 10)
	_, handle, _ := splitRows(t, rows)
	gw.login(2)
	messages := map[string]bool{}
	for _, h := range []string{"", "0", strings.Repeat("0", 64), handle[:32] + strings.Repeat("0", 32), handle + ",owner=other",
		handle + ",page=99", strings.ToUpper(handle)} {
		gw.receiveData(2, string(queryPacket(fmt.Sprintf("/* resume=%s */ FETCH", h))))
		out := gw.takeOutput(2)
		if len(out) < 13 || out[4] != 0xff {
			t.Fatalf("%q: %q", h, out)
		}
		messages[out[13:]] = true
		if !strings.Contains(h, "page") {
			gw.receiveData(2, string(queryPacket(fmt.Sprintf("/* release=%s */ FETCH", h))))
			gw.takeOutput(2)
		}
	}
	if len(messages) != 1 {
		t.Errorf("error messages differ: %v", messages)
	}
	if stats := gw.g.results.spool.Stats(); stats.Results != 1 {
		t.Errorf("a rejected release took effect: %+v", stats)
	}
	for _, bad := range []string{"/* resume=" + handle + ",page=-1 */ x", "/* resume=" + handle + ",page=x */ x", "/* resume=" + handle + ",resume=" + handle + " */ x"} {
		gw.receiveData(2, string(queryPacket(bad)))
		if out := gw.takeOutput(2); len(out) < 9 || out[4] != 0xff {
			t.Errorf("%s: %q", bad, out)
		}
	}
}

// A full spool rejects requests before they run. The rejection has a Retry-After.
func TestFullSpoolRejects(t *testing.T) {
	gw := newSpoolGateway(t, "spool {\n memory = \"128KB\"\n result = \"128KB\"\n tenant = \"128KB\"\n}\n")
	gw.login(1)
	gw.serveEngine(gw.startResult(1, "point", idA, ",spool=1", 20)) // 93 KB, kept until released
	gw.readRows(1, 100)
	gw.login(2)
	gw.receiveData(2, requestPacketWith("point", idB, ",spool=1"))
	out := gw.takeOutput(2)
	if !strings.Contains(out, "refused; holdoff=") {
		t.Errorf("got %q", out)
	}
	if n := len(gw.g.requests); n != 0 {
		t.Errorf("%d requests are open", n)
	}
}

// A request whose result can't be stored fails if the query must not run again or the result would never fit, and is
// rejected otherwise. Here the result exceeds the size limit. The engine is freed.
func TestResultThatCannotBeStored(t *testing.T) {
	for _, c := range []struct {
		class, want string
		pages       int
	}{{"point", "could not be kept: size", 40}, {"load", "could not be kept: size", 40}} {
		gw := newSpoolGateway(t, "spool {\n memory = \"128KB\"\n result = \"64KB\"\n tenant = \"128KB\"\n}\n")
		gw.login(1)
		connID := gw.startResult(1, c.class, idA, "", c.pages)
		saw := gw.serveEngine(connID)
		out := gw.takeOutput(1)
		if !strings.Contains(out, c.want) || strings.Contains(out, "refused") {
			t.Errorf("%s: %q", c.class, out)
		}
		if !strings.Contains(saw, "FREE "+idA) || strings.Count(saw, "ASK") > 0 || len(gw.g.requests) != 0 {
			t.Errorf("%s: the engine got %q, %d requests are open", c.class, saw[max(0, len(saw)-80):], len(gw.g.requests))
		}
	}
}

// The disk fails while a result with a handle is stored. A request that may be retried is rejected, a load fails. If
// the disk hangs, the client gets a failure in time.
func TestDiskFailure(t *testing.T) {
	for class, want := range map[string]string{"point": "the query was refused", "load": "could not be kept: disk"} {
		gw := newSpoolGateway(t, diskSpoolSite)
		gw.login(1)
		gw.diskFails = true
		gw.serveEngine(gw.startResult(1, class, idA, ",spool=1", 5))
		if out := gw.takeOutput(1); !strings.Contains(out, want) || strings.Contains(out, "#handle") {
			t.Errorf("%s: %q", class, out)
		}
		if stats := gw.g.results.spool.Stats(); stats.Results != 0 || len(gw.g.requests) != 0 {
			t.Errorf("%s: left %+v", class, stats)
		}
	}
	// The disk hangs.
	gw := newSpoolGateway(t, diskSpoolSite)
	gw.login(1)
	gw.diskPaused = true
	gw.serveEngine(gw.startResult(1, "point", idA, ",spool=1", 3))
	if out := gw.takeOutput(1); out != "" {
		t.Fatalf("answered before the result is on disk: %q", out)
	}
	for end := gw.now + 2*rules.Second; gw.now < end; gw.now += 10 * rules.Millisecond {
		gw.stepWithDisk(TimerFired{})
	}
	if out := gw.takeOutput(1); !strings.Contains(out, "failed") || len(gw.g.requests) != 0 {
		t.Errorf("the disk hangs: answered with %q", out)
	}
	gw.diskPaused = false
	gw.stepWithDisk(TimerFired{})
	if stats := gw.g.results.spool.Stats(); stats.Results != 0 {
		t.Errorf("left %+v", stats)
	}
}

// A result that is lost while it is read ends with an error instead of an EOF.
func TestResultLostWhileRead(t *testing.T) {
	gw := newSpoolGateway(t, diskSpoolSite)
	gw.login(1)
	gw.serveEngine(gw.startResult(1, "point", idA, "", 60))
	gw.diskFails = true
	rows, end := gw.readRows(1, 1000)
	if !strings.Contains(end, "the result was lost") || len(rows) >= len(wantRows(0, 60)) {
		t.Errorf("%d rows, then %q", len(rows), end)
	}
}

// The engine dies after part of the result. The retry returns a complete result, without data of the first attempt.
func TestRetryAfterPartialResult(t *testing.T) {
	gw := newSpoolGateway(t, memorySpoolSite)
	gw.login(1)
	connID := gw.startResult(1, "point", idA, "", 30)
	gw.takeOutput(connID)
	gw.stepWithDisk(ConnectionClosed{Conn: connID, AcceptedBytes: math.MaxInt64})
	gw.stepWithDisk(TimerFired{})
	if out := gw.takeOutput(1); out != "" {
		t.Fatalf("the client got %q", out)
	}
	secondConn := gw.dials[len(gw.dials)-1]
	if secondConn == connID {
		t.Fatal("the request was not retried")
	}
	gw.stepWithDisk(DialSucceeded{Conn: secondConn})
	gw.takeOutput(secondConn)
	p := bigPage(0)
	gw.receiveData(secondConn, fmt.Sprintf("%s served total=30 %d\r\n%s\r\n", idA, len(p), p))
	gw.serveEngine(secondConn)
	if rows, end := gw.readRows(1, 100); end != "end" || !slices.Equal(rows, wantRows(0, 30)) {
		t.Errorf("%s, %d rows", end, len(rows))
	}
}

// KILL ends a result that is being read. A command sent while a result is being read closes the session.
func TestKillWhileReading(t *testing.T) {
	gw := newSpoolGateway(t, memorySpoolSite)
	gw.login(1)
	gw.serveEngine(gw.startResult(1, "point", idA, "", 60))
	gw.takeOutput(1)
	gw.login(2)
	gw.receiveData(2, string(queryPacket(fmt.Sprintf("KILL QUERY %d", gw.g.clients[1].session))))
	gw.stepWithDisk(WriteDrained{Conn: 1})
	if out := gw.takeOutput(1); out != "" || !gw.closed[1] {
		t.Errorf("after KILL the client got %d bytes, or was not closed", len(out))
	}
	if stats := gw.g.results.spool.Stats(); stats.Results != 0 || stats.Readers != 0 {
		t.Errorf("left %+v", stats)
	}
	gw.login(3)
	gw.serveEngine(gw.startResult(3, "point", idB, "", 60))
	gw.takeOutput(3)
	gw.receiveData(3, string(queryPacket("SET x = 1")))
	if !gw.closed[3] {
		t.Error("a command was accepted while a result was being read")
	}
}

// Guards against foreign rows: a client that reads its result got a chunk that was loaded for a client that has left, whose
// place among the readers it has.
func TestChunkOfDepartedReaderIsDropped(t *testing.T) {
	gw := newSpoolGateway(t, diskSpoolSite)
	store := func(client ConnID, id string) (handle string, rows []string) {
		gw.login(client)
		gw.serveEngine(gw.startResult(client, "point", id, ",spool=1", 30))
		all, _ := gw.readRows(client, 1000)
		rows, handle, _ = splitRows(t, all)
		return handle, rows
	}
	departing, _ := store(1, idA)
	staying, want := store(2, idB)
	for i := range want { // the pages of all results of the fake engine are the same
		want[i] = strings.Replace(want[i], "field", "other", 1)
	}
	for i := range gw.records[len(gw.records)/2:] {
		record := &gw.records[len(gw.records)/2+i]
		*record = bytes.ReplaceAll(*record, []byte("field"), []byte("other"))
	}
	gw.diskPaused = true
	gw.receiveData(1, string(queryPacket(fmt.Sprintf("/* resume=%s */ FETCH", departing))))
	gw.stepWithDisk(ConnectionClosed{Conn: 1})
	gw.receiveData(2, string(queryPacket(fmt.Sprintf("/* resume=%s */ FETCH", staying))))
	gw.diskPaused = false
	gw.stepWithDisk(TimerFired{}) // both chunks are loaded now
	rows, end := gw.readRows(2, 1000)
	if got, _, _ := splitRows(t, rows); end != "end" || !slices.Equal(got, want) {
		t.Errorf("%s: %d rows of %d, the first %.30q", end, len(got), len(want), got[0])
	}
}

// Guards against a store that rejects all queries after its budget was reduced, and does not say why.
func TestReducedBudgetIsLogged(t *testing.T) {
	gw := startRead(t, memorySpoolSite, ",spool=1")
	reload := func(maxResults int) (lines []string) {
		cfg, site, spoolCfg := gw.g.cfg, *gw.g.cfg.Site, *gw.g.cfg.Site.Spool
		spoolCfg.Budget.MaxResults = maxResults
		site.Spool, cfg.Site = &spoolCfg, &site
		gw.g.Step(gw.now, ConfigReloaded{Config: &cfg})
		for _, effect := range gw.g.Flush() {
			if line, ok := effect.(Log); ok && strings.HasPrefix(line.Text, "spool: ") {
				lines = append(lines, line.Text)
			}
		}
		return lines
	}
	if lines := reload(1); len(lines) != 0 {
		t.Errorf("within the budget: logged %q", lines)
	}
	if lines := reload(0); !slices.Equal(lines, []string{"spool: over its budget, nothing new is stored"}) {
		t.Errorf("over the budget: logged %q", lines)
	}
	if lines := reload(10); !slices.Equal(lines, []string{"spool: within its budget again"}) {
		t.Errorf("within the budget again: logged %q", lines)
	}
}

// Guards against a slot's entry being taken for an earlier one of the same slot.
func TestSlotIDsAreNotUsedAgain(t *testing.T) {
	table := newSlotTable[int](2)
	former, next := new(int), new(int)
	formerID := table.allocate(former)
	table.release(formerID)
	nextID := table.allocate(next)
	if nextID.index() != formerID.index() || nextID == formerID {
		t.Fatalf("slot %d (%x) followed slot %d (%x)", nextID.index(), nextID, formerID.index(), formerID)
	}
	if table.lookup(formerID) != nil || table.lookup(nextID) != next || table.at(nextID.index()) != next {
		t.Error("the ID of a freed slot was taken for that of the next entry, or the next entry was not found")
	}
}
