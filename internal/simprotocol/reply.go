package simprotocol

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"

	"foxlane/rules"
)

// encoder builds a reply line, which contains a group of commands for each instance. It appends text instead of using
// reflection, because a reply is written for every batch and its CPU time counts.
type encoder struct {
	buf           []byte
	groupStart    int // offset of the open group
	commandsStart int // offset of its commands
}

func (e *encoder) openReply() { e.buf = append(e.buf[:0], `{"managers":[`...) }

func (e *encoder) closeReply() []byte {
	e.buf = append(e.buf, "]}\n"...)
	return e.buf
}

func (e *encoder) openGroup(instanceID int) {
	e.groupStart = len(e.buf)
	if e.buf[len(e.buf)-1] != '[' {
		e.buf = append(e.buf, ',')
	}
	e.buf = append(e.buf, `{"who":`...)
	e.buf = strconv.AppendInt(e.buf, int64(instanceID), 10)
	e.buf = append(e.buf, `,"cmds":[`...)
	e.commandsStart = len(e.buf)
}

// closeGroup ends the open group, and removes it if it has no commands.
func (e *encoder) closeGroup() {
	if len(e.buf) == e.commandsStart {
		e.buf = e.buf[:e.groupStart]
		return
	}
	e.buf = append(e.buf, "]}"...)
}

// dropGroup removes the commands of the open group, because the instance that issued them was stopped or replaced
// within this batch.
func (e *encoder) dropGroup() { e.buf = e.buf[:e.commandsStart] }

// openCommand begins a command. The caller appends its fields and calls closeCommand.
func (e *encoder) openCommand(name string) {
	if len(e.buf) > e.commandsStart {
		e.buf = append(e.buf, ',')
	}
	e.buf = append(e.buf, `{"cmd":"`...)
	e.buf = append(e.buf, name...)
	e.buf = append(e.buf, '"')
}

// openRequestCommand begins a command about a request.
func (e *encoder) openRequestCommand(name string, id rules.RequestID) {
	e.openCommand(name)
	e.appendText("xid", string(id))
}

// openEngineCommand begins a command about an engine.
func (e *encoder) openEngineCommand(name string, id rules.EngineID) {
	e.openCommand(name)
	e.appendInt("engine", int64(id))
}

func (e *encoder) appendText(key, value string) {
	quoted, _ := json.Marshal(value) // marshalling a string never fails
	e.appendKey(key)
	e.buf = append(e.buf, quoted...)
}

func (e *encoder) appendInt(key string, value int64) {
	e.appendKey(key)
	e.buf = strconv.AppendInt(e.buf, value, 10)
}

func (e *encoder) appendKey(key string) {
	e.buf = append(e.buf, ',', '"')
	e.buf = append(e.buf, key...)
	e.buf = append(e.buf, '"', ':')
}

func (e *encoder) closeCommand() { e.buf = append(e.buf, '}') }

func (e *encoder) appendPanicReport(reason string) {
	e.openCommand("Crash")
	e.appendText("msg", reason)
	e.closeCommand()
}

// appendAction appends an action of the decision module as a command.
func (e *encoder) appendAction(a rules.Action) {
	switch a := a.(type) {
	case rules.Send:
		e.openRequestCommand("Dispatch", a.ID)
		e.appendInt("engine", int64(a.Engine))
		if a.Timeout != 0 {
			e.appendInt("tryFor", int64(a.Timeout))
		}
	case rules.SetAttemptOptions:
		e.openRequestCommand("GrantAndRank", a.ID)
		e.appendKey("workspaceMb")
		e.buf = strconv.AppendFloat(e.buf, a.MemoryMB, 'f', -1, 64)
		e.appendInt("priority", int64(a.Priority))
	case rules.Cancel:
		e.openRequestCommand("Abandon", a.ID)
		e.appendInt("leg", int64(a.Attempt))
	case rules.Reject:
		e.openRequestCommand("Busy", a.ID)
		if a.RetryAfter > 0 {
			e.appendInt("holdOff", int64(a.RetryAfter))
		}
	case rules.Fail:
		e.openRequestCommand("ReportFailure", a.ID)
	case rules.SetTimer:
		e.openCommand("Arm")
		e.appendInt("at", int64(a.At))
		e.appendText("handle", a.Token)
	case rules.Probe:
		e.openEngineCommand("Poll", a.Engine)
	case rules.CloseIdle:
		e.openEngineCommand("DropConns", a.Engine)
	case rules.Broadcast:
		e.openCommand("Signal")
		e.appendText("whom", "all")
		e.appendText("content", base64.StdEncoding.EncodeToString(a.Payload))
	case rules.Subscribe:
		e.openCommand("Listen")
		e.appendKey("active")
		e.buf = strconv.AppendBool(e.buf, a.On)
	case rules.FetchFleet:
		e.openCommand("GetList")
	case rules.Log:
		e.openCommand("Remark")
		e.appendText("msg", a.Text)
	default:
		panic(fmt.Sprintf("no wire form for %T", a)) // a bug, not reachable by input; Host.runModule recovers
	}
	e.closeCommand()
}
