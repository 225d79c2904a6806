// Command 2 is the driver of case 2: clients whose connections rest ask again while their gateway, one of two, stands still.
package main

import (
	"fmt"
	"syscall"
	"time"

	"foxlane/internal/standin"
	"foxlane/review/casekit"
)

const (
	clientCount = 20
	waits       = 6500 * time.Millisecond // how long a client waits: over 80 % of the 7500 ms of the class
	latest      = 550 * time.Millisecond  // after its time, until a request without an answer is lost
	crossing    = 50 * time.Millisecond   // a request that crosses the close of a resting connection is sent again

	// Times since the last client had its first answer.
	pauseAt  = 3300 * time.Millisecond
	askAt    = 3700 * time.Millisecond // clients close connections that rest only after 4 s
	resumeAt = 4900 * time.Millisecond // a pause of 1600 ms; the brief names 1500 to 2000 ms
)

func main() { casekit.Main(run) }

func run(record *casekit.Record, trouble bool) (code int, err error) {
	scene, err := casekit.NewScene(casekit.Options{Deployment: casekit.VancouverMain, Gateways: 2, Engines: 2, Handler: func(_ int, request standin.Request) standin.Reply {
		return casekit.ServeRow(request, 5*time.Millisecond)
	}})
	if err != nil {
		return casekit.NotRun, err
	}
	defer scene.End()
	sessions, err := openSessions(scene.Gateways[0].Addr)
	if err != nil {
		return casekit.NotRun, err
	}
	record.Printf("%d clients are connected, each had a request served, and their connections rest", len(sessions))
	rested := time.Now()

	time.Sleep(time.Until(rested.Add(pauseAt)))
	if trouble {
		record.Printf("gateway n0 stands still (SIGSTOP)")
		if err := scene.Gateways[0].Signal(syscall.SIGSTOP); err != nil {
			return casekit.NotRun, err
		}
	}
	time.Sleep(time.Until(rested.Add(askAt)))
	for _, session := range sessions {
		if err := session.ask(record); err != nil {
			return casekit.NotRun, err
		}
	}
	time.Sleep(time.Until(rested.Add(resumeAt)))
	if trouble {
		record.Printf("gateway n0 goes on (SIGCONT)")
		if err := scene.Gateways[0].Signal(syscall.SIGCONT); err != nil {
			return casekit.NotRun, err
		}
	}
	return judge(record, scene, sessions), nil
}

// session is a client with its second request.
type session struct {
	number int
	client *casekit.Client
	id     string
	sentAt time.Time
	answer chan casekit.Answer
}

// openSessions connects all clients and has a first request of each served.
func openSessions(addr string) (sessions []*session, err error) {
	for number := range clientCount {
		client, err := casekit.Dial(addr)
		if err != nil {
			return nil, err
		}
		if err := client.Write(casekit.QueryPacket(casekit.Statement("lookup", casekit.NewID(), waits, ""))); err != nil {
			return nil, err
		}
		if answer := client.ReadAnswer(time.Now().Add(waits)); answer.Kind != casekit.Served {
			return nil, fmt.Errorf("client %d: its first request was not served: %s %s", number, answer.Kind, answer.Text)
		}
		sessions = append(sessions, &session{number: number, client: client, id: casekit.NewID(), answer: make(chan casekit.Answer, 1)})
	}
	return sessions, nil
}

// ask sends the second request and begins to read its answer.
func (s *session) ask(record *casekit.Record) error {
	err := s.client.Write(casekit.QueryPacket(casekit.Statement("lookup", s.id, waits, "")))
	s.sentAt = time.Now()
	record.Printf("client %d sends request %s on its resting connection and waits %d ms", s.number, s.id, waits.Milliseconds())
	go func() { s.answer <- s.client.ReadAnswer(s.sentAt.Add(waits + latest)) }()
	return err
}

// judge counts the requests that have no answer.
func judge(record *casekit.Record, scene *casekit.Scene, sessions []*session) (code int) {
	lost := 0
	for _, session := range sessions {
		answer := <-session.answer
		session.client.Close()
		after := answer.At.Sub(session.sentAt)
		record.Printf("client %d, request %s: %s %s, %d ms after it was sent", session.number, session.id, answer.Kind, answer.Text, after.Milliseconds())
		if answer.Kind == casekit.None && after > crossing {
			lost++
		}
	}
	for number, engine := range scene.Engines {
		record.Printf("engine %d got %d requests", number, len(engine.Requests()))
	}
	for _, line := range scene.Gateways[0].Log(`"process stalled`) {
		record.Printf("the gateway's log: %s", line)
	}
	record.Printf("%d of %d requests are lost", lost, len(sessions))
	if lost > 0 {
		return casekit.Broken
	}
	return casekit.Held
}
