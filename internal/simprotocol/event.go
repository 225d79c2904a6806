package simprotocol

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"

	"foxlane/rules"
)

// batch is a line of input.
type batch struct {
	Timestamp *int64       `json:"ts"`
	Groups    []batchGroup `json:"managers"`
}

// batchGroup contains the events of a batch for one instance.
type batchGroup struct {
	InstanceID *int        `json:"who"`
	Events     []wireEvent `json:"input"`
}

// wireEvent is an event of any kind. Command determines which fields are used.
type wireEvent struct {
	Command           string             `json:"cmd"`
	Seed              json.Number        `json:"randomSeed"`
	Settings          json.RawMessage    `json:"bootInfo"`
	ListMode          string             `json:"kind"`
	ListNumber        int                `json:"sheet"`
	Engines           []wireEngine       `json:"lines"`
	RequestID         string             `json:"xid"`
	Class             int                `json:"cls"`
	Tenant            int                `json:"owner"`
	OrderKey          string             `json:"orderKey"`
	Deadline          *int64             `json:"due"`
	EstimatedWork     int64              `json:"estimate"`
	EstimatedMemoryMB float64            `json:"footprintMb"`
	DataSet           float64            `json:"dataset"`
	Flags             int64              `json:"bitmap"`
	Attempt           int                `json:"leg"`
	Engine            *int64             `json:"engine"`
	Latency           int64              `json:"lag"`
	ProgressKind      int                `json:"sort"`
	ProgressValue     float64            `json:"x"`
	Status            string             `json:"verdict"`
	RequestEnded      bool               `json:"doneFlag"`
	MeasuredCost      int64              `json:"trueCost"`
	Load              map[string]float64 `json:"pressure"`
	TimerToken        string             `json:"handle"`
	Peer              int                `json:"srcPeer"`
	Payload           string             `json:"content"`
}

// wireEngine is an engine in a numbered list.
type wireEngine struct {
	Cell      int     `json:"cluster"`
	Zone      int     `json:"campus"`
	StartedAt int64   `json:"startedAt"`
	ID        *int64  `json:"engine"`
	Kind      int     `json:"machine"`
	State     string  `json:"health"`
	Scale     float64 `json:"scale"`
}

// Bits of wireEvent.Flags, and the encoding of wireEvent.MeasuredCost: milliseconds of work times costUnitsPerMS, plus
// memory in units of memoryMBPerCostUnit.
const (
	flagHasEstimate     = 1
	flagRetry           = 2
	flagWrite           = 4
	costUnitsPerMS      = 4096
	memoryMBPerCostUnit = 4
)

var statuses = map[string]rules.Status{
	"S": rules.StatusOK, "E": rules.StatusError, "F": rules.StatusRejected, "T": rules.StatusTimeout,
	"C": rules.StatusConnectFailed, "R": rules.StatusReset, "X": rules.StatusCancelled, "N": rules.StatusNotExecuted,
}

var engineStates = map[string]rules.EngineState{
	"SERVING": rules.EngineServing, "DRAINING": rules.EngineDraining, "DELETED": rules.EngineGone,
}

var listModes = map[string]rules.UpdateMode{
	"INCREMENTAL": rules.UpdateDelta, "FULL": rules.UpdateFull, "SAVED": rules.UpdateCached, "FAILED": rules.UpdateFailed,
}

// decodeName returns the value that a name on the wire stands for. The error names the field.
func decodeName[T any](field, name string, values map[string]T) (T, error) {
	v, ok := values[name]
	if !ok {
		return v, fmt.Errorf("unknown %s %q", field, name)
	}
	return v, nil
}

func engineID(n *int64) (rules.EngineID, error) {
	if n == nil {
		return 0, errors.New("engine is missing")
	}
	if *n < 0 || *n >= 1<<32 {
		return 0, fmt.Errorf("engine %d is out of range", *n)
	}
	return rules.EngineID(*n), nil
}

func decodeEngines(lines []wireEngine) ([]rules.Engine, error) {
	out := make([]rules.Engine, 0, len(lines))
	for i, l := range lines {
		id, err := engineID(l.ID)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i, err)
		}
		state, err := decodeName("health", l.State, engineStates)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i, err)
		}
		if l.Zone < 0 || l.Kind < 0 || l.Cell < 0 || l.Scale < 0 {
			return nil, fmt.Errorf("line %d: negative value", i)
		}
		out = append(out, rules.Engine{
			ID: id, Cell: l.Cell, Zone: l.Zone, Kind: l.Kind,
			StartedAt: rules.Time(l.StartedAt), State: state, Scale: l.Scale,
		})
	}
	return out, nil
}

func (w *wireEvent) requestID() (rules.RequestID, error) {
	if w.RequestID == "" {
		return "", errors.New("xid is missing")
	}
	return rules.RequestID(w.RequestID), nil
}

// decode decodes an event for an instance with the settings s.
func (w *wireEvent) decode(s *rules.Settings) (rules.Event, error) {
	switch w.Command {
	case "Accept":
		return w.decodeAccept(s)
	case "Resolved":
		return w.decodeResolved()
	case "Opened":
		id, err := w.requestID()
		return rules.StreamOpened{ID: id, Attempt: w.Attempt}, err
	case "Heartbeat":
		id, err := w.requestID()
		if err == nil && (w.ProgressKind < 1 || w.ProgressKind > 3) {
			err = fmt.Errorf("sort %d is out of range", w.ProgressKind)
		}
		return rules.Progress{ID: id, Attempt: w.Attempt, Kind: rules.ProgressKind(w.ProgressKind), Value: w.ProgressValue}, err
	case "Gone":
		id, err := w.requestID()
		return rules.ClientGone{ID: id}, err
	case "Bell":
		return rules.TimerFired{Token: w.TimerToken}, nil
	case "HealthResult":
		return w.decodeHealthResult()
	case "FromPeer":
		payload, err := base64.StdEncoding.DecodeString(w.Payload)
		if err != nil {
			err = fmt.Errorf("content: %w", err)
		}
		return rules.PeerMessage{From: w.Peer, Payload: payload}, err
	}
	return nil, fmt.Errorf("unknown command %q", w.Command)
}

func (w *wireEvent) decodeAccept(s *rules.Settings) (rules.Event, error) {
	id, err := w.requestID()
	if err != nil {
		return nil, err
	}
	if w.Class < 0 || w.Class >= len(s.Classes) {
		return nil, fmt.Errorf("cls %d is out of range", w.Class)
	}
	if w.Tenant < 0 || w.Tenant > 0 && w.Tenant >= len(s.Tenants) {
		return nil, fmt.Errorf("owner %d is out of range", w.Tenant)
	}
	if w.Deadline == nil {
		return nil, errors.New("due is missing")
	}
	if w.EstimatedWork < 0 || w.EstimatedMemoryMB < 0 {
		return nil, errors.New("negative estimate")
	}
	return rules.Arrival{Request: rules.Request{
		ID: id, Class: w.Class, Tenant: w.Tenant, OrderKey: w.OrderKey, Deadline: rules.Time(*w.Deadline),
		EstimatedWork: rules.Time(w.EstimatedWork), HasEstimate: w.Flags&flagHasEstimate != 0 && w.EstimatedWork > 0,
		EstimatedMemoryMB: w.EstimatedMemoryMB, DataSet: int(w.DataSet),
		IsRetry: w.Flags&flagRetry != 0, IsWrite: w.Flags&flagWrite != 0,
	}}, nil
}

func (w *wireEvent) decodeResolved() (rules.Event, error) {
	id, err := w.requestID()
	if err != nil {
		return nil, err
	}
	engine, status, err := w.engineStatus()
	if err != nil {
		return nil, err
	}
	if w.Attempt < 0 || w.Latency < 0 || w.MeasuredCost < 0 {
		return nil, errors.New("negative value")
	}
	return rules.Outcome{
		ID: id, Attempt: w.Attempt, Engine: engine, Status: status, Latency: rules.Time(w.Latency),
		RequestEnded:     w.RequestEnded,
		MeasuredWork:     rules.Time(w.MeasuredCost/costUnitsPerMS) * rules.Millisecond,
		MeasuredMemoryMB: float64(w.MeasuredCost%costUnitsPerMS) * memoryMBPerCostUnit,
		Load:             w.Load,
	}, nil
}

// engineStatus decodes the engine and the status of an attempt or a probe.
func (w *wireEvent) engineStatus() (rules.EngineID, rules.Status, error) {
	engine, err := engineID(w.Engine)
	if err != nil {
		return 0, 0, err
	}
	status, err := decodeName("verdict", w.Status, statuses)
	return engine, status, err
}

func (w *wireEvent) decodeHealthResult() (rules.Event, error) {
	engine, status, err := w.engineStatus()
	if err != nil {
		return nil, err
	}
	return rules.ProbeResult{Engine: engine, Status: status, Latency: rules.Time(w.Latency), Load: w.Load}, nil
}
