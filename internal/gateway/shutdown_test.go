package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"foxlane/internal/directives"
	"foxlane/internal/memory"
	"foxlane/rules"
)

// play moves the clock forward by a duration in steps of 10 ms and executes the disk operations.
func (gw *spoolGateway) play(duration rules.Time) {
	for end := gw.now + duration; gw.now < end; {
		gw.now += 10 * rules.Millisecond
		gw.stepWithDisk(TimerFired{})
	}
}

// startRead has client 1 ask for a result of 60 pages, whose first chunk is written.
func startRead(t *testing.T, site, fields string) *spoolGateway {
	gw := newSpoolGateway(t, site)
	gw.login(1)
	gw.serveEngine(gw.startResult(1, "point", idA, fields, 60))
	if gw.g.clients[1].reader == nil {
		t.Fatal("the result is not being read")
	}
	return gw
}

const afterDrainPeriod = rules.Second

// Guards against answers that SIGTERM cuts off: the exit waits for a client that reads a stored result.
func TestExitWaitsForReader(t *testing.T) {
	for name, text := range map[string]string{"memory": memorySpoolSite, "disk": diskSpoolSite} {
		gw := startRead(t, text, "")
		gw.stepWithDisk(ShutdownRequested{})
		gw.play(afterDrainPeriod)
		if gw.exited {
			t.Fatalf("%s: the gateway exits while its client reads", name)
		}
		rows, end := gw.readRows(1, 1000)
		if end != "end" || !slices.Equal(rows, wantRows(0, 60)) || !gw.exited {
			t.Errorf("%s: %d rows of %d, ended with %q, exited: %v", name, len(rows), len(wantRows(0, 60)), end, gw.exited)
		}
	}
}

// Guards against answers that break off without an error: at the deadline of the shutdown a read that is not complete ends
// with an error, also one whose chunk is still being loaded, or which begins only then. The gateway exits.
func TestReadsEndWithErrorAtShutdownDeadline(t *testing.T) {
	const kept, notKept = "the gateway shuts down: the result is kept, read it again by its handle", "the gateway shuts down"
	for _, c := range []struct {
		name, site, fields, want string
		results                  int // left in the spool
	}{
		{"without a handle", diskSpoolSite, "", notKept, 0},
		{"with a handle", diskSpoolSite, ",spool=1", kept, 1},
		{"in memory, with a handle", memorySpoolSite, ",spool=1", notKept, 1},
	} {
		gw := startRead(t, c.site, c.fields)
		gw.login(2)
		gw.receiveData(2, string(queryPacket("SET x = 1")))
		gw.takeOutput(2)
		gw.stepWithDisk(ShutdownRequested{})
		gw.play(gw.g.limits.ShutdownTimeout - 20*rules.Millisecond)
		if gw.exited {
			t.Fatalf("%s: the gateway exits before the deadline", c.name)
		}
		gw.play(40 * rules.Millisecond)
		rows, end := gw.readRows(1, 1)
		if end != c.want || len(rows) == 0 || !gw.exited {
			t.Errorf("%s: %d rows, ended with %q, exited: %v", c.name, len(rows), end, gw.exited)
		}
		if stats := gw.g.results.spool.Stats(); stats.Results != c.results || stats.Readers != 0 {
			t.Errorf("%s: left %+v", c.name, stats)
		}
		if _, handle, _ := splitRows(t, rows); handle != "" {
			gw.receiveData(2, string(queryPacket(fmt.Sprintf("/* resume=%s */ FETCH", handle))))
			if _, end := gw.readRows(2, 1); end != c.want {
				t.Errorf("%s: a read after the deadline ended with %q", c.name, end)
			}
		}
	}
	gw := startRead(t, diskSpoolSite, ",spool=1")
	rows, _ := gw.readRows(1, 1000)
	_, handle, _ := splitRows(t, rows)
	gw.diskPaused = true
	gw.receiveData(1, string(queryPacket(fmt.Sprintf("/* resume=%s */ FETCH", handle))))
	gw.stepWithDisk(ShutdownRequested{})
	gw.play(gw.g.limits.ShutdownTimeout + 20*rules.Millisecond)
	if rows, end := gw.readRows(1, 1); end != kept || len(rows) != 0 || !gw.exited {
		t.Errorf("while a chunk is loaded: %d rows, ended with %q, exited: %v", len(rows), end, gw.exited)
	}
}

// Guards against the loss of what a client has not read yet: the exit waits until the operating system has accepted all
// that was written, within the deadline of the shutdown. A client whose query was killed is owed nothing.
func TestExitWaitsForBlockedClients(t *testing.T) {
	for name, c := range map[string]struct {
		event     func(gw *testGateway) // 1.5 s after SIGTERM; nil: none
		exitAfter rules.Time            // from SIGTERM, within 0.2 s
	}{
		"reads":         {func(gw *testGateway) { gw.step(WriteUnblocked{Conn: 1}) }, 1500 * rules.Millisecond},
		"leaves":        {func(gw *testGateway) { gw.closeConn(1) }, 1500 * rules.Millisecond},
		"does not read": {nil, 3300 * rules.Millisecond},
		"is killed":     {func(gw *testGateway) { gw.g.clients[1].killed = true }, 1500 * rules.Millisecond},
	} {
		gw := newTestGateway(t)
		gw.loginClient(1)
		gw.receive(1, string(queryPacket("SET x = 1")))
		gw.step(WriteBlocked{Conn: 1, Pending: 1000})
		gw.step(ShutdownRequested{})
		exitedAfter := rules.Time(0)
		const step = 100 * rules.Millisecond
		for at := step; at <= 4*rules.Second && !gw.exited; at += step {
			gw.advance(step)
			if at == 1500*rules.Millisecond && c.event != nil {
				c.event(gw)
			}
			if gw.step(TimerFired{}); gw.exited {
				exitedAfter = at
			}
		}
		if exitedAfter < c.exitAfter || exitedAfter > c.exitAfter+2*step {
			t.Errorf("%s: exited after %v ms, want %v", name, exitedAfter/rules.Millisecond, c.exitAfter/rules.Millisecond)
		}
	}
}

// Guards against an interrupted answer whose error the operating system does not take: it holds little that is unsent of a
// stored result, until the answer ends.
func TestUnsentBytesOfReadsAreLimited(t *testing.T) {
	gw := startRead(t, diskSpoolSite, ",spool=1")
	limit := gw.g.limits.UnsentBytes
	if got := gw.unsentLimits[1]; !slices.Equal(got, []int{limit}) {
		t.Errorf("limits during the read: %v, want %d", got, limit)
	}
	gw.readRows(1, 1000)
	if got := gw.unsentLimits[1]; !slices.Equal(got, []int{limit, 0}) {
		t.Errorf("limits after the read: %v", got)
	}
	gw = startRead(t, diskSpoolSite, ",spool=1")
	gw.stepWithDisk(ShutdownRequested{})
	gw.play(gw.g.limits.ShutdownTimeout + 20*rules.Millisecond)
	if got := gw.unsentLimits[1]; !slices.Equal(got, []int{limit, 0}) || !strings.Contains(gw.takeOutput(1), "shuts down") {
		t.Errorf("limits after the shutdown's deadline: %v", got)
	}
}

// Guards against a request that is left unanswered until SIGKILL: a result that only waits for its disk, which hangs, is answered by
// the deadline of the shutdown, whether its engine had sent all of it before SIGTERM or after it.
func TestResultThatWaitsForDiskIsAnsweredByShutdownDeadline(t *testing.T) {
	for name, termFirst := range map[string]bool{"received before SIGTERM": false, "received after SIGTERM": true} {
		gw := newSpoolGateway(t, diskSpoolSite)
		gw.login(1)
		gw.diskPaused = true
		conn := gw.startResultWithin(1, "load", idA, ",spool=1", 3, 15*rules.Second)
		if termFirst {
			gw.stepWithDisk(ShutdownRequested{})
		}
		gw.serveEngine(conn)
		if !termFirst {
			gw.stepWithDisk(ShutdownRequested{})
		}
		if out := gw.takeOutput(1); out != "" || gw.g.unanswered != 1 {
			t.Fatalf("%s: answered before the result is on the disk: %q", name, out)
		}
		gw.play(gw.g.limits.ShutdownTimeout + 20*rules.Millisecond)
		if out := gw.takeOutput(1); !strings.Contains(out, "failed") || !gw.exited {
			t.Errorf("%s: answered with %q, exited: %v", name, out, gw.exited)
		}
	}
}

// Guards against a client that is ended by the shutdown because the gateway is slower than it reads: the next chunk is loaded
// while the last one is being accepted, one at most, and none while the clients that do not read have taken half of the memory.
func TestNextChunkIsLoadedAhead(t *testing.T) {
	gw := startRead(t, diskSpoolSite, ",spool=1")
	reader := gw.g.clients[1].reader
	first := reader.lastChunk
	if reader.ahead == nil || reader.ahead.Index != first+1 || gw.g.memory.Used(memory.ClientOutput) != int64(len(reader.ahead.Data)) {
		t.Fatalf("ahead: %v", reader.ahead)
	}
	gw.diskPaused = true
	gw.stepWithDisk(WriteDrained{Conn: 1})
	if reader.lastChunk != first+1 || len(gw.pendingDisk) != 1 {
		t.Errorf("chunk %d was written, %d requests for the disk", reader.lastChunk, len(gw.pendingDisk))
	}
	gw.stepWithDisk(WriteDrained{Conn: 1}) // the disk is slower than the client
	if reader.lastChunk != first+1 || len(gw.pendingDisk) != 1 {
		t.Errorf("ahead of the disk: chunk %d was written, %d requests for the disk", reader.lastChunk, len(gw.pendingDisk))
	}
	gw.diskPaused = false
	gw.stepWithDisk(TimerFired{})
	if reader.lastChunk != first+2 {
		t.Errorf("chunk %d was written once it was loaded", reader.lastChunk)
	}
	gw.stepWithDisk(WriteBlocked{Conn: 1, Pending: int64(gw.g.limits.ResultBufferBytes/2 + 1)})
	gw.stepWithDisk(WriteDrained{Conn: 1})
	if reader.requested || reader.ahead != nil {
		t.Error("a chunk was loaded ahead while memory is short")
	}
	gw.stepWithDisk(WriteUnblocked{Conn: 1})
	rows, end := gw.readRows(1, 1000)
	if data, _, _ := splitRows(t, rows); end != "end" || !slices.Equal(data, wantRows(0, 60)) {
		t.Errorf("%d rows, ended with %q", len(data), end)
	}
	gw.receiveData(1, string(queryPacket(fmt.Sprintf("/* resume=%s */ FETCH", splitHandle(t, rows)))))
	gw.stepWithDisk(ConnectionClosed{Conn: 1})
	if used := gw.g.memory.Used(memory.ClientOutput); used != 0 {
		t.Errorf("%d bytes are charged though no client is there", used)
	}
}

// Guards against a process that passes its memory limit because many clients read at once: few chunks are requested in a batch,
// and the others in the next ones, in order, however fast the first clients read. A client that leaves holds up nobody.
func TestFewChunksAreRequestedInABatch(t *testing.T) {
	gw := startRead(t, memorySpoolSite, ",spool=1")
	rows, _ := gw.readRows(1, 1000)
	resume := string(queryPacket(fmt.Sprintf("/* resume=%s */ FETCH", splitHandle(t, rows))))
	const clients, chunksPerBatch = 20, 4
	gw.g.limits.ResultBufferBytes = 2 * chunksPerBatch * int(gw.g.cfg.Site.Spool.Budget.ChunkBytes)
	for id := ConnID(2); id < 2+clients; id++ {
		gw.login(id)
	}
	delivered := gw.g.results.spool.Stats().Delivered
	for id := ConnID(2); id < 2+clients; id++ {
		gw.g.Step(gw.now, &DataReceived{Conn: id, Data: []byte(resume)})
	}
	gw.g.Step(gw.now, ConnectionClosed{Conn: 1 + clients})
	served := map[ConnID]bool{}
	for batch := 1; len(served) < clients-1; batch++ {
		before := delivered
		delivered = gw.g.results.spool.Stats().Delivered
		if delivered == before || delivered > before+chunksPerBatch {
			t.Fatalf("batch %d: %d chunks were delivered", batch, delivered-before)
		}
		gw.stepWithDisk(nil)
		for id := range gw.awaitingDrain {
			served[id] = true
		}
		if batch > 2*clients {
			t.Fatalf("%d clients are served after %d batches", len(served), batch)
		}
		gw.g.Step(gw.now, TimerFired{})
		gw.acceptAll()
	}
	for id := ConnID(1); id < 2+clients; id++ {
		gw.stepWithDisk(ConnectionClosed{Conn: id})
	}
	if used := gw.g.memory.Used(memory.ClientOutput); used != 0 || len(gw.g.results.turns.queue) != 0 {
		t.Errorf("%d bytes are charged and %d requests wait though no client is there", used, len(gw.g.results.turns.queue))
	}
}

// acceptAll has all connections accept what was written to them, by their IDs, without a Flush.
func (gw *spoolGateway) acceptAll() {
	for _, id := range slices.Sorted(maps.Keys(gw.awaitingDrain)) {
		delete(gw.awaitingDrain, id)
		gw.g.Step(gw.now, WriteDrained{Conn: id})
	}
}

// splitHandle returns the handle in the rows of a result.
func splitHandle(t *testing.T, rows []string) string {
	_, handle, _ := splitRows(t, rows)
	return handle
}

// Guards against an answer that breaks off without an error because admission control makes room for another connection.
func TestEvictedReadEndsWithError(t *testing.T) {
	const maxConns = 3
	site := diskSpoolSite + fmt.Sprintf(admissionSiteFormat, 1)
	gw := &spoolGateway{testGateway: startTestGateway(t, withAdmission(t, site, maxConns, 60), oneHost), awaitingDrain: map[ConnID]bool{},
		unsentLimits: map[ConnID][]int{}}
	gw.stepWithDisk(nil)
	gw.login(1)
	gw.serveEngine(gw.startResult(1, "point", idA, ",spool=1", 60))
	rows, _ := gw.readRows(1, 1000)
	_, handle, _ := splitRows(t, rows)
	gw.receiveData(1, string(queryPacket(fmt.Sprintf("/* resume=%s */ FETCH", handle))))
	for id := ConnID(2); id <= maxConns+1 && !gw.closed[1]; id++ {
		gw.play(10 * rules.Millisecond)
		gw.login(id)
		gw.receiveData(id, requestPacket("point", fmt.Sprintf("%016x", id))) // unanswered, so its connection stays
	}
	const want = "no room for this connection: the result is kept, read it again by its handle"
	if rows, end := gw.readRows(1, 1); end != want || len(rows) == 0 || !gw.closed[1] {
		t.Errorf("%d rows, ended with %q, closed: %v", len(rows), end, gw.closed[1])
	}
	// The result is kept beside the reservations of the other clients.
	if stats := gw.g.results.spool.Stats(); stats.Results != 1+maxConns || stats.Readers != 0 {
		t.Errorf("left %+v", stats)
	}
}

// Guards against an operator's command that gets no answer: the exit waits for a directive that is not committed yet, here since
// the voter's disk hangs, and answers it at the deadline of the shutdown. One that comes later is answered at once.
func TestPendingDirectiveIsAnsweredByShutdownDeadline(t *testing.T) {
	gw := startTestGateway(t, withSite(t, membersSite+"directives {\n  voters = [\"n0\"]\n}\n"), oneHost)
	diskHangs, exited := false, false
	var answers []string
	var step func(event Event)
	step = func(event Event) {
		gw.g.Step(gw.now, event)
		for _, effect := range slices.Clone(gw.g.Flush()) {
			switch effect := effect.(type) {
			case PersistVoterLog:
				if !diskHangs {
					step(VoterLogPersisted{})
				}
			case ControlResponse:
				answers = append(answers, string(effect.Data))
			case Exit:
				exited = true
			}
		}
	}
	play := func(duration rules.Time) {
		for end := gw.now + duration; gw.now < end; {
			gw.now += 10 * rules.Millisecond
			step(TimerFired{})
		}
	}
	command := func(subject string) {
		step(ControlRequest{Conn: 7, Data: fmt.Appendf(nil, `{"id":%q,"op":"set","kind":"refuse-class","subject":%q}`, subject, subject)})
	}
	step(VoterLogOpened{State: &directives.PersistedState{Initialized: true}})
	play(5 * rules.Second) // the voter becomes the leader
	command("point")
	if len(answers) != 1 || !strings.HasPrefix(answers[0], `{"index":`) {
		t.Fatalf("the first command was answered with %q", answers)
	}
	diskHangs = true
	command("load")
	step(ShutdownRequested{})
	play(gw.g.limits.ShutdownTimeout - 20*rules.Millisecond)
	if len(answers) != 1 || exited {
		t.Fatalf("before the deadline: answers %q, exited: %v", answers, exited)
	}
	play(40 * rules.Millisecond)
	if len(answers) != 2 || !strings.Contains(answers[1], "the gateway shuts down") || !exited {
		t.Errorf("after the deadline: answers %q, exited: %v", answers, exited)
	}
	if command("report"); len(answers) != 3 || !strings.Contains(answers[2], "the gateway shuts down") {
		t.Errorf("a late command: answers %q", answers)
	}
}
