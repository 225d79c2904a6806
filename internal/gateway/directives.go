package gateway

import (
	"slices"

	"foxlane/internal/config"
	"foxlane/internal/directives"
	"foxlane/rules"
)

// This file applies operator directives: drains of zones and engines, the spillover limit, and rejected classes.
// Package directives decides which directives are in force and who may change them. Without the block `directives`
// in the operator's file there are none.
//
// A reload that removes the block keeps the directives and the block's last settings until the next start: an edit
// of another block must not end what an operator has ordered, and the block `members`, which this one requires, may
// be removed and added again.

// directiveState holds this gateway's replica of the directives and state derived from them.
type directiveState struct {
	node            *directives.Node
	tickInterval    rules.Time
	voters          []string
	rejectedClasses []bool            // by class index
	lastCommandID   uint64            // ID of the last directive command
	pendingCommands map[uint64]ConnID // connections awaiting an answer, by command ID
}

// newDirectives returns the configured directive state, or nil if directives are not configured.
func newDirectives(cfg *config.Config) *directiveState {
	if cfg.Site == nil || cfg.Site.Directives == nil || cfg.Site.Members == nil {
		return nil
	}
	settings := directives.Settings{Self: cfg.Name, Voters: cfg.Site.Directives.Voters, TickInterval: cfg.Site.Directives.TickInterval}
	return &directiveState{
		node:            directives.NewNode(settings, cfg.Seed),
		tickInterval:    settings.TickInterval,
		voters:          settings.Voters,
		rejectedClasses: make([]bool, len(cfg.Settings.ClassNames)),
		pendingCommands: map[uint64]ConnID{},
	}
}

// startDirectives creates the directive state and starts its tick timer, if directives are configured.
func (g *Gateway) startDirectives() {
	if g.directives = newDirectives(&g.cfg); g.directives != nil {
		g.timers.add(timer{at: g.now + g.directives.tickInterval, kind: timerDirectives})
	}
}

// reconfigureDirectives applies the settings of a reloaded configuration, if it still has the block `directives`.
func (g *Gateway) reconfigureDirectives() {
	if g.directives != nil && g.cfg.Site != nil && g.cfg.Site.Directives != nil {
		g.directives.tickInterval, g.directives.voters = g.cfg.Site.Directives.TickInterval, g.cfg.Site.Directives.Voters
	}
}

// handleVoterOpened starts this gateway's voter with its persisted state.
func (g *Gateway) handleVoterOpened(persisted *directives.PersistedState) {
	if g.directives == nil || persisted == nil {
		return
	}
	if err := g.directives.node.StartVoter(g.now, *persisted); err != nil {
		g.log(Warn, "directives: voter could not start", Attr{keyError, err.Error()})
	}
	g.applyDirectives()
}

// tickDirectives ticks the clock of the consensus group.
func (g *Gateway) tickDirectives() {
	if g.directives == nil {
		return
	}
	g.timers.add(timer{at: g.now + g.directives.tickInterval, kind: timerDirectives})
	if g.peers == nil { // without peers the directives stay unchanged and become stale
		return
	}
	var names []string
	for _, member := range g.peers.replica.Members() {
		names = append(names, member.Name)
	}
	g.runDirectiveEffects(g.directives.node.Tick(g.now, names))
}

// runDirectiveEffects executes the effects returned by the directives' replica.
func (g *Gateway) runDirectiveEffects(effects []directives.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case directives.Send:
			channel := ChannelConsensus
			if effect.Channel == directives.ChannelState {
				channel = ChannelDirectives
			}
			g.emit(SendToMember{To: effect.To, Channel: channel, Data: effect.Data})
		case directives.Persist:
			g.emit(PersistVoterLog{Batch: effect.Batch})
		case directives.Applied:
			g.log(Info, "directives: changed", Attr{keyIndex, effect.Index}, Attr{keyInForce, len(g.directives.node.State().Directives)})
			g.applyDirectives()
		case directives.Reply:
			g.answerProposal(effect.RequestID, effect.Index, effect.Err)
		case directives.Log:
			g.log(Warn, effect.Text)
		}
	}
}

// applyDirectives applies the directives in force to classes, engines and zones.
func (g *Gateway) applyDirectives() {
	state := g.directives
	if state == nil {
		return
	}
	inForce := state.node.State()
	rejected := inForce.Subjects(directives.RejectClass)
	for i, name := range g.cfg.Settings.ClassNames {
		state.rejectedClasses[i] = slices.Contains(rejected, name)
	}
	drained := inForce.Subjects(directives.DrainEngine)
	var changed []rules.Engine
	for _, eng := range g.engineOrder {
		drain := slices.Contains(drained, eng.entry.ID)
		if drain == eng.drainedByDirective {
			continue
		}
		eng.drainedByDirective, eng.stateSince = drain, g.now
		if eng.state == rules.EngineServing {
			changed = append(changed, g.moduleEngine(eng))
		}
	}
	if len(changed) > 0 {
		g.notifyModule(rules.FleetUpdate{Mode: rules.UpdateDelta, Engines: changed})
	}
	g.applyZoneSettings()
}

// engineDrainedByDirective reports whether a directive drains an engine.
func (g *Gateway) engineDrainedByDirective(id string) bool {
	return g.directives != nil && slices.Contains(g.directives.node.State().Subjects(directives.DrainEngine), id)
}

// classRejectedByDirective reports whether a directive rejects requests of a class.
func (g *Gateway) classRejectedByDirective(class int) bool {
	return g.directives != nil && g.directives.rejectedClasses[class]
}

// logDirectives logs the state of the directives and, if this gateway is a voter, the voter's status.
func (g *Gateway) logDirectives() {
	state := g.directives
	if state == nil {
		return
	}
	inForce := state.node.State()
	attrs := []Attr{{keyIndex, inForce.Index}, {keyInForce, len(inForce.Directives)}}
	if staleness, ok := state.node.Staleness(g.now); ok {
		attrs = append(attrs, Attr{"staleness_ms", milliseconds(staleness)})
	}
	if status, ok := state.node.Status(); ok {
		attrs = append(attrs, Attr{"leader", status.Leader}, Attr{"term", status.Term}, Attr{"listening", status.Listens}, Attr{"broken", status.Broken})
	}
	g.log(Info, "directives", attrs...)
}
