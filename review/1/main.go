// Command 1 is the driver of case 1: one of two gateways stands still for a while, in which clients ask, other clients
// leave and an engine begins to drain.
package main

import (
	"fmt"
	"syscall"
	"time"

	"foxlane/internal/standin"
	"foxlane/review/casekit"
)

const (
	loadWork   = 6 * time.Second        // of a load, on two threads
	loadRun    = loadWork / 2           // how long it runs
	lookupWork = 210 * time.Millisecond // of a lookup, on one thread
	waits      = 18 * time.Second       // how long clients wait for a load: 90 % of the 20 s of the class
	latest     = 550 * time.Millisecond // after its time, until a request without an answer is lost

	exitWithin = 200 * time.Millisecond // how long a process that has closed all connections may take to end

	engineCount  = 4 // of which one, a quarter, begins to drain
	earlyClients = 8 // that ask before the pause, and leave during it
	laterClients = 8 // that ask during the pause

	// Times since the first loads were sent.
	lookupsAt = 200 * time.Millisecond
	pauseAt   = 900 * time.Millisecond
	askAt     = 1200 * time.Millisecond
	leaveAt   = 1700 * time.Millisecond
	drainAt   = 1900 * time.Millisecond
	resumeAt  = 2500 * time.Millisecond // a pause of 1600 ms; the brief names 1500 to 2000 ms
)

func main() { casekit.Main(run) }

func run(record *casekit.Record, trouble bool) (code int, err error) {
	scene, err := casekit.NewScene(casekit.Options{Deployment: casekit.VancouverMain, Gateways: 2, Engines: engineCount, Handler: func(number int, request standin.Request) standin.Reply {
		record.Printf("engine %d gets request %s of class %s", number, request.ID, request.Fields["lane"])
		if request.Fields["lane"] == "load" {
			return casekit.ServeRow(request, loadRun)
		}
		return casekit.ServeRow(request, lookupWork)
	}})
	if err != nil {
		return casekit.NotRun, err
	}
	defer scene.End()
	early, err := connect(scene.Gateways[0].Addr, 0, earlyClients)
	if err != nil {
		return casekit.NotRun, err
	}
	later, err := connect(scene.Gateways[0].Addr, earlyClients, laterClients)
	if err != nil {
		return casekit.NotRun, err
	}
	if err := play(record, scene, early, later, trouble); err != nil {
		return casekit.NotRun, err
	}
	return judge(record, scene, later), nil
}

// play runs the case up to the end of the pause.
func play(record *casekit.Record, scene *casekit.Scene, early, later []*session, trouble bool) error {
	started := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(started.Add(at))) }
	if err := askAll(record, early); err != nil {
		return err
	}
	until(lookupsAt)
	if err := serveLookups(record, later); err != nil {
		return err
	}
	until(pauseAt)
	if trouble {
		record.Printf("gateway n0 stands still (SIGSTOP)")
		if err := scene.Gateways[0].Signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	until(askAt)
	if err := askAll(record, later); err != nil {
		return err
	}
	until(leaveAt)
	for _, session := range early {
		session.client.Close()
		record.Printf("client %d closes its connection", session.number)
	}
	until(drainAt)
	draining := lookupEngine(scene)
	scene.Drain(draining)
	record.Printf("engine %d begins to drain, as the name service tells from now on", draining)
	until(resumeAt)
	if trouble {
		record.Printf("gateway n0 goes on (SIGCONT)")
		return scene.Gateways[0].Signal(syscall.SIGCONT)
	}
	return nil
}

// session is a client with its query of the class load.
type session struct {
	number int
	client *casekit.Client
	id     string
	sentAt time.Time
}

// connect connects clients, numbered from first on.
func connect(addr string, first, count int) (sessions []*session, err error) {
	for i := range count {
		client, err := casekit.Dial(addr)
		if err != nil {
			return nil, err
		}
		sessions = append(sessions, &session{number: first + i, client: client, id: casekit.NewID()})
	}
	return sessions, nil
}

// askAll sends the load of each client, each for another data set.
func askAll(record *casekit.Record, sessions []*session) error {
	for _, session := range sessions {
		more := fmt.Sprintf(",ms=%d,subject=k%d,opkey=o%d", loadWork.Milliseconds(), session.number, session.number)
		err := session.client.Write(casekit.QueryPacket(casekit.StatementOf(session.number+1, "load", session.id, waits, more)))
		if err != nil {
			return err
		}
		session.sentAt = time.Now()
		record.Printf("client %d sends request %s of class load", session.number, session.id)
	}
	return nil
}

// serveLookups has a short query of each client served, so that the gateway has connections for both classes.
func serveLookups(record *casekit.Record, sessions []*session) error {
	const lookupWaits = 6 * time.Second // 80 % of the 7.5 s of the class
	for _, session := range sessions {
		statement := casekit.Statement("lookup", casekit.NewID(), lookupWaits, fmt.Sprintf(",ms=%d", lookupWork.Milliseconds()))
		if err := session.client.Write(casekit.QueryPacket(statement)); err != nil {
			return err
		}
	}
	for _, session := range sessions {
		if answer := session.client.ReadAnswer(time.Now().Add(lookupWaits)); answer.Kind != casekit.Served {
			return fmt.Errorf("client %d: its short query was not served: %s %s", session.number, answer.Kind, answer.Text)
		}
	}
	record.Printf("%d clients had a short query served", len(sessions))
	return nil
}

// lookupEngine returns the number of the engine that got most of the short queries: the gateway has connections for both
// classes to it.
func lookupEngine(scene *casekit.Scene) (most int) {
	counts := make([]int, len(scene.Engines))
	for number, engine := range scene.Engines {
		for _, request := range engine.Requests() {
			if request.Fields["lane"] == "lookup" {
				counts[number]++
			}
		}
		if counts[number] > counts[most] {
			most = number
		}
	}
	return most
}

// judge reads the answers to the loads that were sent in the pause, for the record. The rule is broken if the process has
// ended, since nothing told it to end.
func judge(record *casekit.Record, scene *casekit.Scene, later []*session) (code int) {
	unanswered := 0
	for _, session := range later {
		answer := session.client.ReadAnswer(session.sentAt.Add(waits + latest))
		session.client.Close()
		record.Printf("client %d, request %s: %s %s", session.number, session.id, answer.Kind, answer.Text)
		if answer.Kind == casekit.None {
			unanswered++
		}
	}
	record.Printf("%d of %d requests have no answer", unanswered, len(later))
	if state, ended := scene.Gateways[0].AwaitExit(exitWithin); ended {
		record.Printf("the gateway's process has ended by itself: %s", state)
		for _, line := range scene.Gateways[0].Log("\npanic: ") {
			record.Printf("the gateway's log: %s", line)
		}
		return casekit.Broken
	}
	record.Printf("the gateway's process runs")
	return casekit.Held
}
