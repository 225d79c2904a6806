package config

import (
	"errors"
	"fmt"
	"net/netip"
)

// EngineList is the list of engines that is known at the start.
type EngineList struct {
	Seq     uint32
	Engines []Engine
}

// Engine is an entry of the list.
type Engine struct {
	ID      string
	Addr    netip.AddrPort
	Zone    string
	Kind    string
	Cell    int
	State   string
	Weight  float64
	Started int64 // Unix milliseconds; 0: long ago
}

// States of an Engine.
const (
	StateActive   = "active"
	StateDraining = "leaving"
	StateRemoved  = "left"
)

type wireEngine struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

type wireListEvent struct {
	Seq   uint32 `json:"seq"`
	Fleet *struct {
		Full    bool         `json:"full"`
		Servers []wireEngine `json:"servers"`
	} `json:"fleet"`
}

// replay applies the watch events up to the start, and returns the list that they leave.
func replay(last uint32, events []wireListEvent) (k EngineList, err error) {
	k.Seq = last
	at := map[string]int{}
	for _, e := range events {
		if e.Seq > last {
			return k, fmt.Errorf("event %d is later than seq %d", e.Seq, last)
		}
		if e.Fleet == nil {
			continue
		}
		if e.Fleet.Full {
			k.Engines = nil
			clear(at)
		}
		for _, s := range e.Fleet.Servers {
			entry, err := s.engine()
			if err != nil {
				return k, fmt.Errorf("event %d: engine %q: %w", e.Seq, s.ID, err)
			}
			i, ok := at[entry.ID]
			if !ok {
				i = len(k.Engines)
				at[entry.ID] = i
				k.Engines = append(k.Engines, Engine{})
			}
			k.Engines[i] = entry
		}
	}
	listed := k.Engines[:0]
	for _, e := range k.Engines {
		if e.State != StateRemoved {
			listed = append(listed, e)
		}
	}
	k.Engines = listed
	return k, nil
}

func (s wireEngine) engine() (Engine, error) {
	e := Engine{ID: s.ID, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, State: s.State, Weight: s.Weight, Started: s.Started}
	if s.ID == "" || s.Cell < 0 || s.Started < 0 {
		return e, errors.New("an unusable value")
	}
	switch s.State {
	case StateActive, StateDraining:
		addr, err := netip.ParseAddrPort(s.Addr)
		e.Addr = addr
		return e, err
	case StateRemoved:
		return e, nil
	}
	return e, fmt.Errorf("unknown state %q", s.State)
}
