package config

import (
	"errors"
	"fmt"
	"net/netip"
)

// EngineList is the list of engines as of the gateway's start.
type EngineList struct {
	Seq     uint32 // sequence number of the last event that it includes
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
	Started int64 // Unix time in milliseconds; 0: long ago
}

// States of an Engine, as the configuration names them.
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

// replayEvents applies the events of the list up to lastSeq, and returns the engines that are listed after them.
func replayEvents(lastSeq uint32, events []wireListEvent) (list EngineList, err error) {
	list.Seq = lastSeq
	indexByID := map[string]int{}
	for _, e := range events {
		if e.Seq > lastSeq {
			return list, fmt.Errorf("event %d is later than seq %d", e.Seq, lastSeq)
		}
		if e.Fleet == nil {
			continue
		}
		if e.Fleet.Full {
			list.Engines = nil
			clear(indexByID)
		}
		for _, server := range e.Fleet.Servers {
			entry, err := server.decode()
			if err != nil {
				return list, fmt.Errorf("event %d: engine %q: %w", e.Seq, server.ID, err)
			}
			i, ok := indexByID[entry.ID]
			if !ok {
				i = len(list.Engines)
				indexByID[entry.ID] = i
				list.Engines = append(list.Engines, Engine{})
			}
			list.Engines[i] = entry
		}
	}
	listed := list.Engines[:0]
	for _, e := range list.Engines {
		if e.State != StateRemoved {
			listed = append(listed, e)
		}
	}
	list.Engines = listed
	return list, nil
}

// decode checks and converts an engine. A removed engine needs no address.
func (server wireEngine) decode() (Engine, error) {
	e := Engine{ID: server.ID, Zone: server.Zone, Kind: server.Kind, Cell: server.Cell, State: server.State, Weight: server.Weight, Started: server.Started}
	if server.ID == "" || server.Cell < 0 || server.Started < 0 {
		return e, errors.New("empty id, or negative cell or started_ms")
	}
	switch server.State {
	case StateActive, StateDraining:
		addr, err := netip.ParseAddrPort(server.Addr)
		e.Addr = addr
		return e, err
	case StateRemoved:
		return e, nil
	}
	return e, fmt.Errorf("unknown state %q", server.State)
}
