package simprotocol

import (
	"encoding/json"
	"reflect"
	"testing"

	"foxlane/rules"
)

// Every action is encoded as the protocol's command, with its keys, in valid JSON.
func TestActions(t *testing.T) {
	for _, c := range []struct {
		action rules.Action
		want   string
	}{
		{rules.Send{ID: "a", Engine: 9}, `{"cmd":"Dispatch","xid":"a","engine":9}`},
		{rules.Send{ID: "a", Engine: 1<<32 - 1, Timeout: 5}, `{"cmd":"Dispatch","xid":"a","engine":4294967295,"tryFor":5}`},
		{rules.SetAttemptOptions{ID: "a", MemoryMB: 640.5, Priority: 2}, `{"cmd":"GrantAndRank","xid":"a","workspaceMb":640.5,"priority":2}`},
		{rules.Cancel{ID: "a", Attempt: 1}, `{"cmd":"Abandon","xid":"a","leg":1}`},
		{rules.Reject{ID: "a"}, `{"cmd":"Busy","xid":"a"}`},
		{rules.Reject{ID: "a", RetryAfter: 7}, `{"cmd":"Busy","xid":"a","holdOff":7}`},
		{rules.Fail{ID: "a\"\n"}, `{"cmd":"ReportFailure","xid":"a\"\n"}`},
		{rules.SetTimer{At: 8, Token: "sweep"}, `{"cmd":"Arm","at":8,"handle":"sweep"}`},
		{rules.Probe{Engine: 9}, `{"cmd":"Poll","engine":9}`},
		{rules.CloseIdle{Engine: 9}, `{"cmd":"DropConns","engine":9}`},
		{rules.Broadcast{Payload: []byte("hi 7")}, `{"cmd":"Signal","whom":"all","content":"aGkgNw=="}`},
		{rules.Subscribe{On: true}, `{"cmd":"Listen","active":true}`},
		{rules.FetchFleet{}, `{"cmd":"GetList"}`},
		{rules.Log{Text: "two servers known"}, `{"cmd":"Remark","msg":"two servers known"}`},
	} {
		var e encoder
		e.openReply()
		e.openGroup(3)
		e.appendAction(c.action)
		e.closeGroup()
		got, want := string(e.closeReply()), `{"managers":[{"who":3,"cmds":[`+c.want+"]}]}\n"
		if got != want {
			t.Errorf("%T: got %s, want %s", c.action, got, want)
		}
		if !json.Valid([]byte(got)) {
			t.Errorf("%T: not JSON: %s", c.action, got)
		}
	}
}

// Every event is decoded with all its fields.
func TestEvents(t *testing.T) {
	s := rules.Settings{Classes: make([]rules.Class, 2), Tenants: make([]rules.Tenant, 2)}
	for _, c := range []struct {
		in   string
		want rules.Event
	}{
		{`{"cmd":"Accept","xid":"a","cls":1,"owner":1,"orderKey":"t/k","due":50,"estimate":12000,"footprintMb":384,"dataset":11,"bitmap":7}`,
			rules.Arrival{Request: rules.Request{ID: "a", Class: 1, Tenant: 1, OrderKey: "t/k", Deadline: 50, EstimatedWork: 12000,
				HasEstimate: true, EstimatedMemoryMB: 384, DataSet: 11, IsRetry: true, IsWrite: true}}},
		{`{"cmd":"Resolved","xid":"a","leg":2,"engine":7,"verdict":"S","lag":18500,"doneFlag":true,"trueCost":69728,"pressure":{"queue":3}}`,
			rules.Outcome{ID: "a", Attempt: 2, Engine: 7, Latency: 18500, RequestEnded: true, MeasuredWork: 17 * rules.Millisecond,
				MeasuredMemoryMB: 384, Load: map[string]float64{"queue": 3}}},
		{`{"cmd":"Opened","xid":"a","leg":1,"engine":7}`, rules.StreamOpened{ID: "a", Attempt: 1}},
		{`{"cmd":"Heartbeat","xid":"a","leg":1,"sort":2,"x":0.5}`,
			rules.Progress{ID: "a", Attempt: 1, Kind: rules.ProgressSpill, Value: 0.5}},
		{`{"cmd":"Gone","xid":"a"}`, rules.ClientGone{ID: "a"}},
		{`{"cmd":"Bell","handle":"h"}`, rules.TimerFired{Token: "h"}},
		{`{"cmd":"HealthResult","engine":7,"verdict":"C","lag":9}`,
			rules.ProbeResult{Engine: 7, Status: rules.StatusConnectFailed, Latency: 9}},
		{`{"cmd":"FromPeer","srcPeer":2,"content":"aGkgNw=="}`, rules.PeerMessage{From: 2, Payload: []byte("hi 7")}},
	} {
		var w wireEvent
		if err := json.Unmarshal([]byte(c.in), &w); err != nil {
			t.Fatal(err)
		}
		if got, err := w.decode(&s); err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s:\ngot  %#v, %v\nwant %#v", c.in, got, err, c.want)
		}
	}
}
