package transport

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"foxlane/internal/gateway"
	"foxlane/internal/standin"
	"foxlane/rules"
)

// recordingReducer records the events that it gets.
type recordingReducer struct{ events []string }

func (r *recordingReducer) Step(_ rules.Time, event gateway.Event) {
	if data, ok := event.(*gateway.DataReceived); ok {
		r.events = append(r.events, fmt.Sprintf("data %d", data.Conn))
		return
	}
	r.events = append(r.events, fmt.Sprintf("%T %v", event, event))
}

func (r *recordingReducer) Flush() []gateway.Effect { return nil }

// Guards against requests that are sent on after their client has left: its end, read in the same batch, is known ahead of
// all input.
func TestDeparturesComeAheadOfInput(t *testing.T) {
	const engineConn = gateway.ConnID(1 << 63)
	reducer := &recordingReducer{}
	loop := &reducerLoop{reducer: reducer, departures: departures{}}
	data := func(id gateway.ConnID) queuedEvent {
		return queuedEvent{received: gateway.DataReceived{Conn: id, Data: []byte("x")}}
	}
	loop.events = []queuedEvent{
		data(1), {event: gateway.ConnectionAccepted{Conn: 3}}, data(2), data(3), data(engineConn),
		{event: gateway.ConnectionClosed{Conn: engineConn}}, {event: gateway.ConnectionClosed{Conn: 3}}, {event: gateway.ConnectionClosed{Conn: 1}},
	}
	loop.stepEvents(0)
	leaving := func(id gateway.ConnID) string {
		return fmt.Sprintf("%T %v", gateway.ClientLeaving{}, gateway.ClientLeaving{Conn: id})
	}
	got := reducer.events
	if !slices.Equal(got[:3], []string{leaving(3), leaving(1), "data 1"}) || !slices.Equal(got[4:7], []string{leaving(3), "data 2", "data 3"}) {
		t.Errorf("events in the order %q", got)
	}
	if n := len(got); n != len(loop.events)+3 {
		t.Errorf("%d events for a batch of %d", n, len(loop.events))
	}
}

// Guards against an effect that is repeated: on real sockets, clients send a query that must not run twice, leave at any
// moment, and its id comes again, as often as a client library tries.
func TestIDThatComesAgainRunsOnce(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{}
	s := newTestbed(t, func(request standin.Request) standin.Reply {
		mu.Lock()
		defer mu.Unlock()
		runs[request.ID]++
		return standin.Reply{Delay: 30 * time.Millisecond, Status: "served", Pages: []string{"a\tb\tc\n"}}
	})
	const clients, queries, sends = 6, 8, 3
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			for n := range queries * sends {
				s.sendAndLeave(fmt.Sprintf("%08x%08x", i, n/sends), time.Duration(5*((i+n)%8))*time.Millisecond)
			}
		})
	}
	group.Wait()
	s.shutdown()
	mu.Lock()
	defer mu.Unlock()
	if len(runs) < clients*queries/2 {
		t.Errorf("%d of %d queries reached the engine: the test covers too little", len(runs), clients*queries)
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("query %s was run %d times", id, n)
		}
	}
}

// sendAndLeave sends a query on a new connection and closes it after a while, without reading the answer.
func (s *testbed) sendAndLeave(id string, after time.Duration) {
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Error(err)
		return
	}
	text := statement("load", id, 3000)
	command := append([]byte{byte(len(text) + 1), byte((len(text) + 1) >> 8), 0, 0, 3}, text...)
	if _, err := conn.Write(append(loginPacket(), command...)); err != nil {
		s.t.Error(err)
	}
	time.Sleep(after)
	_ = conn.Close() // the gateway may have reset it
}
