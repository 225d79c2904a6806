// Package simprotocol implements the simulator's protocol: it runs instances of the decision module, reads one JSON
// batch of events per line and writes one JSON reply per line. The instances share only the numbered lists of engines,
// which in the protocol belong to the process.
package simprotocol

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"foxlane/internal/settings"
	"foxlane/rules"
)

// listCount is the number of numbered lists in the protocol.
const listCount = 16

// instance is a decision module that the simulator has started.
type instance struct {
	module   *rules.Module
	settings rules.Settings
	panicked bool // it gets no further events
}

// Host runs the decision module instances of an adapter process.
type Host struct {
	instances      map[int]*instance
	lists          [listCount][]rules.Engine
	listRegistered [listCount]bool
	clock          int64
	started        bool
	reply          encoder
}

// NewHost returns a Host without instances.
func NewHost() *Host {
	return &Host{instances: make(map[int]*instance)}
}

// Serve writes to w a reply to each line of r. It returns nil when r ends, and an error for the first invalid batch or
// failed read or write.
func (h *Host) Serve(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, 1<<20)
	for number := 1; ; number++ {
		line, err := readLine(in)
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("read batch %d: %w", number, err)
		}
		if len(bytes.TrimSpace(line)) > 0 {
			reply, err := h.Batch(line)
			if err != nil {
				return fmt.Errorf("batch %d: %w", number, err)
			}
			if _, err := w.Write(reply); err != nil {
				return fmt.Errorf("write reply %d: %w", number, err)
			}
		} else if err == nil {
			return fmt.Errorf("batch %d: line is empty", number)
		}
		if err != nil {
			return nil
		}
	}
}

// readLine reads a line of any length, including its line feed.
func readLine(in *bufio.Reader) ([]byte, error) {
	line, err := in.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	complete := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		line, err = in.ReadSlice('\n')
		complete = append(complete, line...)
	}
	return complete, err
}

// Batch handles one batch and returns the reply, which ends in a line feed and is valid until the next call. Timestamps
// of successive batches must not decrease.
func (h *Host) Batch(line []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("malformed: %w", err)
	}
	if b.Timestamp == nil {
		return nil, errors.New("ts is missing")
	}
	if b.Groups == nil {
		return nil, errors.New("managers is missing")
	}
	if h.started && *b.Timestamp < h.clock {
		return nil, fmt.Errorf("ts %d is before %d", *b.Timestamp, h.clock)
	}
	h.clock, h.started = *b.Timestamp, true
	h.reply.openReply()
	for i := range b.Groups {
		if err := h.handleGroup(&b.Groups[i]); err != nil {
			return nil, err
		}
	}
	return h.reply.closeReply(), nil
}

func (h *Host) handleGroup(g *batchGroup) error {
	if g.InstanceID == nil {
		return errors.New("who is missing")
	}
	instanceID := *g.InstanceID
	h.reply.openGroup(instanceID)
	for i := range g.Events {
		if err := h.handleEvent(instanceID, &g.Events[i]); err != nil {
			return fmt.Errorf("manager %d, event %d (%s): %w", instanceID, i, g.Events[i].Command, err)
		}
	}
	h.reply.closeGroup()
	return nil
}

func (h *Host) handleEvent(instanceID int, w *wireEvent) error {
	switch w.Command {
	case "Register":
		return h.registerList(w)
	case "Init":
		return h.startInstance(instanceID, w)
	case "Teardown":
		if h.instances[instanceID] == nil {
			return errors.New("no such instance")
		}
		delete(h.instances, instanceID)
		h.reply.dropGroup()
		return nil
	}
	inst := h.instances[instanceID]
	if inst == nil {
		return errors.New("no such instance")
	}
	var event rules.Event
	var err error
	if w.Command == "BackendsChanged" {
		event, err = h.decodeFleetUpdate(w)
	} else {
		event, err = w.decode(&inst.settings)
	}
	if err != nil {
		return err
	}
	h.runModule(inst, event)
	return nil
}

// registerList stores a numbered list of engines.
func (h *Host) registerList(w *wireEvent) error {
	if w.ListNumber < 0 || w.ListNumber >= listCount {
		return fmt.Errorf("sheet %d is out of range", w.ListNumber)
	}
	engines, err := decodeEngines(w.Engines)
	if err != nil {
		return err
	}
	h.lists[w.ListNumber], h.listRegistered[w.ListNumber] = engines, true
	return nil
}

// startInstance starts an instance, replacing one with the same ID.
func (h *Host) startInstance(instanceID int, w *wireEvent) error {
	seed, err := strconv.ParseUint(w.Seed.String(), 10, 64)
	if err != nil {
		signed, err := strconv.ParseInt(w.Seed.String(), 10, 64)
		if err != nil {
			return fmt.Errorf("randomSeed: %w", err)
		}
		seed = uint64(signed)
	}
	decoded, err := settings.Decode(w.Settings)
	if err != nil {
		return err
	}
	h.instances[instanceID] = &instance{module: rules.New(decoded.Rules, seed), settings: decoded.Rules}
	h.reply.dropGroup()
	return nil
}

// decodeFleetUpdate decodes an update of the engine list, which refers to a registered list.
func (h *Host) decodeFleetUpdate(w *wireEvent) (rules.Event, error) {
	mode, err := decodeName("kind", w.ListMode, listModes)
	if err != nil {
		return nil, err
	}
	if mode == rules.UpdateFailed {
		return rules.FleetUpdate{Mode: mode}, nil
	}
	if w.ListNumber < 0 || w.ListNumber >= listCount || !h.listRegistered[w.ListNumber] {
		return nil, fmt.Errorf("sheet %d was never registered", w.ListNumber)
	}
	return rules.FleetUpdate{Mode: mode, Engines: h.lists[w.ListNumber]}, nil
}

// runModule passes an event to the decision module. After a panic, it replies with a crash report and passes no further
// events to the instance, whose state may be inconsistent.
func (h *Host) runModule(inst *instance, event rules.Event) {
	if inst.panicked {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			inst.panicked = true
			h.reply.appendPanicReport(fmt.Sprint(r))
		}
	}()
	for _, a := range inst.module.Handle(rules.Time(h.clock), event) {
		h.reply.appendAction(a)
	}
}
