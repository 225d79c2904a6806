// Package simprotocol runs instances of the decision module for the simulator. It
// reads a JSON batch of events per line and writes a JSON reply per line. The
// instances share nothing but the numbered lists of engines, which the protocol
// declares as belonging to the process.
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

type instance struct {
	module   *rules.Module
	settings rules.Settings
	panicked bool
}

// Host runs the instances of an adapter process.
type Host struct {
	instances map[int]*instance
	lists     [listCount][]rules.Engine
	listSet   [listCount]bool
	clock     int64
	started   bool
	reply     encoder
}

// NewHost returns a host without instances.
func NewHost() *Host {
	return &Host{instances: make(map[int]*instance)}
}

// Serve answers every line of r on w until r ends.
func (h *Host) Serve(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, 1<<20)
	for n := 1; ; n++ {
		line, err := readLine(in)
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading batch %d: %w", n, err)
		}
		if len(bytes.TrimSpace(line)) > 0 {
			reply, err := h.Batch(line)
			if err != nil {
				return fmt.Errorf("batch %d: %w", n, err)
			}
			if _, err := w.Write(reply); err != nil {
				return fmt.Errorf("writing reply %d: %w", n, err)
			}
		} else if err == nil {
			return fmt.Errorf("batch %d: empty line", n)
		}
		if err != nil {
			return nil
		}
	}
}

// readLine reads up to and with the next line feed, however long the line is.
func readLine(in *bufio.Reader) ([]byte, error) {
	line, err := in.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	whole := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		line, err = in.ReadSlice('\n')
		whole = append(whole, line...)
	}
	return whole, err
}

// Batch answers one batch. The reply ends in a line feed and is valid until
// the next call.
func (h *Host) Batch(line []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("malformed: %w", err)
	}
	if b.Timestamp == nil {
		return nil, errors.New("no ts")
	}
	if b.Groups == nil {
		return nil, errors.New("no managers")
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
	if g.Instance == nil {
		return errors.New("no who")
	}
	who := *g.Instance
	h.reply.openGroup(who)
	for i := range g.Events {
		if err := h.handleEvent(who, &g.Events[i]); err != nil {
			return fmt.Errorf("manager %d, event %d (%s): %w", who, i, g.Events[i].Command, err)
		}
	}
	h.reply.closeGroup()
	return nil
}

func (h *Host) handleEvent(who int, w *wireEvent) error {
	switch w.Command {
	case "Register":
		return h.registerList(w)
	case "Init":
		return h.startInstance(who, w)
	case "Teardown":
		if h.instances[who] == nil {
			return errors.New("no such instance")
		}
		delete(h.instances, who)
		h.reply.dropGroup()
		return nil
	}
	inst := h.instances[who]
	if inst == nil {
		return errors.New("no such instance")
	}
	var event rules.Event
	var err error
	if w.Command == "BackendsChanged" {
		event, err = h.listChange(w)
	} else {
		event, err = w.decode(&inst.settings)
	}
	if err != nil {
		return err
	}
	h.decide(inst, event)
	return nil
}

func (h *Host) registerList(w *wireEvent) error {
	if w.ListNumber < 0 || w.ListNumber >= listCount {
		return fmt.Errorf("sheet %d is out of range", w.ListNumber)
	}
	engines, err := decodeEngines(w.Engines)
	if err != nil {
		return err
	}
	h.lists[w.ListNumber], h.listSet[w.ListNumber] = engines, true
	return nil
}

func (h *Host) startInstance(who int, w *wireEvent) error {
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
	h.instances[who] = &instance{module: rules.New(decoded.Rules, seed), settings: decoded.Rules}
	h.reply.dropGroup()
	return nil
}

func (h *Host) listChange(w *wireEvent) (rules.Event, error) {
	mode, err := lookUp("kind", w.ListMode, listModes)
	if err != nil {
		return nil, err
	}
	if mode == rules.UpdateFailed {
		return rules.FleetUpdate{Mode: mode}, nil
	}
	if w.ListNumber < 0 || w.ListNumber >= listCount || !h.listSet[w.ListNumber] {
		return nil, fmt.Errorf("sheet %d was never registered", w.ListNumber)
	}
	return rules.FleetUpdate{Mode: mode, Engines: h.lists[w.ListNumber]}, nil
}

// decide passes an event to the decision module. A panic is answered with a
// report, and the instance gets no further event: its state can't be trusted.
func (h *Host) decide(inst *instance, event rules.Event) {
	if inst.panicked {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			inst.panicked = true
			h.reply.panicReport(fmt.Sprint(r))
		}
	}()
	for _, a := range inst.module.Handle(rules.Time(h.clock), event) {
		h.reply.action(a)
	}
}
