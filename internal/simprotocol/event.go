package simprotocol

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"

	"foxlane/rules"
)

// batch is one line of input.
type batch struct {
	TS       *int64       `json:"ts"`
	Managers []batchGroup `json:"managers"`
}

type batchGroup struct {
	Who   *int        `json:"who"`
	Input []wireEvent `json:"input"`
}

// wireEvent holds the fields of every event; which of them count depends on Cmd.
type wireEvent struct {
	Cmd         string             `json:"cmd"`
	RandomSeed  json.Number        `json:"randomSeed"`
	BootInfo    json.RawMessage    `json:"bootInfo"`
	Kind        string             `json:"kind"`
	Sheet       int                `json:"sheet"`
	Lines       []wireEngine       `json:"lines"`
	XID         string             `json:"xid"`
	Cls         int                `json:"cls"`
	Owner       int                `json:"owner"`
	OrderKey    string             `json:"orderKey"`
	Due         *int64             `json:"due"`
	Estimate    int64              `json:"estimate"`
	FootprintMB float64            `json:"footprintMb"`
	Dataset     float64            `json:"dataset"`
	Bitmap      int64              `json:"bitmap"`
	Leg         int                `json:"leg"`
	Engine      *int64             `json:"engine"`
	Lag         int64              `json:"lag"`
	Sort        int                `json:"sort"`
	X           float64            `json:"x"`
	Verdict     string             `json:"verdict"`
	DoneFlag    bool               `json:"doneFlag"`
	TrueCost    int64              `json:"trueCost"`
	Pressure    map[string]float64 `json:"pressure"`
	Handle      string             `json:"handle"`
	SrcPeer     int                `json:"srcPeer"`
	Content     string             `json:"content"`
}

type wireEngine struct {
	Cluster   int     `json:"cluster"`
	Campus    int     `json:"campus"`
	StartedAt int64   `json:"startedAt"`
	Engine    *int64  `json:"engine"`
	Machine   int     `json:"machine"`
	Health    string  `json:"health"`
	Scale     float64 `json:"scale"`
}

// Bits of wireEvent.Bitmap, and units of wireEvent.TrueCost.
const (
	bitHint      = 1
	bitRepeat    = 2
	bitWrite     = 4
	costMSFactor = 4096
	costMemoryMB = 4
)

var verdicts = map[string]rules.Status{
	"S": rules.StatusOK, "E": rules.StatusError, "F": rules.StatusRejected, "T": rules.StatusTimeout,
	"C": rules.StatusConnectFailed, "R": rules.StatusReset, "X": rules.StatusCancelled, "N": rules.StatusSuperseded,
}

var healths = map[string]rules.EngineState{
	"SERVING": rules.EngineServing, "DRAINING": rules.EngineDraining, "DELETED": rules.EngineGone,
}

var listModes = map[string]rules.UpdateMode{
	"INCREMENTAL": rules.UpdateDelta, "FULL": rules.UpdateFull, "SAVED": rules.UpdateCached, "FAILED": rules.UpdateFailed,
}

func word[T any](what, word string, words map[string]T) (T, error) {
	v, ok := words[word]
	if !ok {
		return v, fmt.Errorf("unknown %s %q", what, word)
	}
	return v, nil
}

func engineID(n *int64) (rules.EngineID, error) {
	if n == nil {
		return 0, errors.New("no engine")
	}
	if *n < 0 || *n >= 1<<32 {
		return 0, fmt.Errorf("engine %d is out of range", *n)
	}
	return rules.EngineID(*n), nil
}

func decodeEngines(lines []wireEngine) ([]rules.Engine, error) {
	out := make([]rules.Engine, 0, len(lines))
	for i, l := range lines {
		id, err := engineID(l.Engine)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i, err)
		}
		state, err := word("health", l.Health, healths)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i, err)
		}
		if l.Campus < 0 || l.Machine < 0 || l.Cluster < 0 || l.Scale < 0 {
			return nil, fmt.Errorf("line %d: a negative value", i)
		}
		out = append(out, rules.Engine{
			ID: id, Cell: l.Cluster, Zone: l.Campus, Kind: l.Machine,
			StartedAt: rules.Time(l.StartedAt), State: state, Scale: l.Scale,
		})
	}
	return out, nil
}

func (w *wireEvent) requestID() (rules.RequestID, error) {
	if w.XID == "" {
		return "", errors.New("no xid")
	}
	return rules.RequestID(w.XID), nil
}

// decode translates the events that concern only one instance's module.
func (w *wireEvent) decode(s *rules.Settings) (rules.Event, error) {
	switch w.Cmd {
	case "Accept":
		return w.decodeAccept(s)
	case "Resolved":
		return w.decodeResolved()
	case "Opened":
		id, err := w.requestID()
		return rules.StreamOpened{ID: id, Attempt: w.Leg}, err
	case "Heartbeat":
		id, err := w.requestID()
		if err == nil && (w.Sort < 1 || w.Sort > 3) {
			err = fmt.Errorf("sort %d is out of range", w.Sort)
		}
		return rules.Progress{ID: id, Attempt: w.Leg, Kind: rules.ProgressKind(w.Sort), Value: w.X}, err
	case "Gone":
		id, err := w.requestID()
		return rules.ClientGone{ID: id}, err
	case "Bell":
		return rules.TimerFired{Token: w.Handle}, nil
	case "HealthResult":
		return w.decodeHealth()
	case "FromPeer":
		payload, err := base64.StdEncoding.DecodeString(w.Content)
		if err != nil {
			err = fmt.Errorf("content: %w", err)
		}
		return rules.PeerMessage{From: w.SrcPeer, Payload: payload}, err
	}
	return nil, fmt.Errorf("unknown command %q", w.Cmd)
}

func (w *wireEvent) decodeAccept(s *rules.Settings) (rules.Event, error) {
	id, err := w.requestID()
	if err != nil {
		return nil, err
	}
	if w.Cls < 0 || w.Cls >= len(s.Classes) {
		return nil, fmt.Errorf("cls %d is out of range", w.Cls)
	}
	if w.Owner < 0 || w.Owner > 0 && w.Owner >= len(s.Tenants) {
		return nil, fmt.Errorf("owner %d is out of range", w.Owner)
	}
	if w.Due == nil {
		return nil, errors.New("no due")
	}
	if w.Estimate < 0 || w.FootprintMB < 0 {
		return nil, errors.New("a negative estimate")
	}
	return rules.Arrival{Request: rules.Request{
		ID: id, Class: w.Cls, Tenant: w.Owner, OrderKey: w.OrderKey, Deadline: rules.Time(*w.Due),
		EstimatedWork: rules.Time(w.Estimate), HasEstimate: w.Bitmap&bitHint != 0 && w.Estimate > 0,
		EstimatedMemoryMB: w.FootprintMB, DataSet: int(w.Dataset),
		IsRetry: w.Bitmap&bitRepeat != 0, IsWrite: w.Bitmap&bitWrite != 0,
	}}, nil
}

func (w *wireEvent) decodeResolved() (rules.Event, error) {
	id, err := w.requestID()
	if err != nil {
		return nil, err
	}
	engine, err := engineID(w.Engine)
	if err != nil {
		return nil, err
	}
	verdict, err := word("verdict", w.Verdict, verdicts)
	if err != nil {
		return nil, err
	}
	if w.Leg < 0 || w.Lag < 0 || w.TrueCost < 0 {
		return nil, errors.New("a negative value")
	}
	return rules.Outcome{
		ID: id, Attempt: w.Leg, Engine: engine, Status: verdict, Latency: rules.Time(w.Lag), Closed: w.DoneFlag,
		MeasuredWork:     rules.Time(w.TrueCost/costMSFactor) * rules.Millisecond,
		MeasuredMemoryMB: float64(w.TrueCost%costMSFactor) * costMemoryMB,
		Load:             w.Pressure,
	}, nil
}

func (w *wireEvent) decodeHealth() (rules.Event, error) {
	engine, err := engineID(w.Engine)
	if err != nil {
		return nil, err
	}
	verdict, err := word("verdict", w.Verdict, verdicts)
	if err != nil {
		return nil, err
	}
	return rules.ProbeResult{Engine: engine, Status: verdict, Latency: rules.Time(w.Lag), Load: w.Pressure}, nil
}
