package gateway

import (
	"slices"

	"foxlane/internal/config"
	"foxlane/internal/directives"
	"foxlane/rules"
)

// This file carries out the operators' directives: drains of zones and engines, the limit of spillover, classes that are rejected.
// Which directives are in force, and who may change them, is decided by package directives; this file decides nothing. Without the
// block `directives` in the operator's file there are none. A reload that takes the block away leaves the directives as they are until
// the next start, with the settings that the block had last: what an operator has ordered must not end by an edit of another block, and
// the block `members`, which this one needs, may come and go.

// directiveState is this gateway's replica of the directives and what it has taken from them.
type directiveState struct {
	proposer        *directives.Node
	tickInterval    rules.Time
	voters          []string
	rejectedClasses []bool            // by class
	lastCommand     uint64            // number of the last operators' command
	waiting         map[uint64]ConnID // connections whose commands wait for an answer, by number
}

// newDirectives returns the directives that the operator has configured, or nil.
func newDirectives(cfg *config.Config) *directiveState {
	if cfg.Site == nil || cfg.Site.Directives == nil || cfg.Site.Members == nil {
		return nil
	}
	settings := directives.Settings{Self: cfg.Name, Voters: cfg.Site.Directives.Voters, TickInterval: cfg.Site.Directives.TickInterval}
	return &directiveState{
		proposer:        directives.NewNode(settings, cfg.Seed),
		tickInterval:    settings.TickInterval,
		voters:          settings.Voters,
		rejectedClasses: make([]bool, len(cfg.Settings.ClassNames)),
		waiting:         map[uint64]ConnID{},
	}
}

func (g *Gateway) startDirectives() {
	if g.directives = newDirectives(&g.cfg); g.directives != nil {
		g.timers.add(timer{at: g.now + g.directives.tickInterval, kind: timerDirectives})
	}
}

// reconfigureDirectives takes over the settings of a configuration that was reloaded, if it still has the block.
func (g *Gateway) reconfigureDirectives() {
	if g.directives != nil && g.cfg.Site != nil && g.cfg.Site.Directives != nil {
		g.directives.tickInterval, g.directives.voters = g.cfg.Site.Directives.TickInterval, g.cfg.Site.Directives.Voters
	}
}

// voterOpened starts the voter of this gateway with what it had persisted.
func (g *Gateway) voterOpened(kept *directives.PersistedState) {
	if g.directives == nil || kept == nil {
		return
	}
	if err := g.directives.proposer.StartVoter(g.now, *kept); err != nil {
		g.log(Warn, "directives: voter could not start", Attr{keyError, err.Error()})
	}
	g.applyDirectives()
}

// tickDirectives lets time pass for the consensus group.
func (g *Gateway) tickDirectives() {
	if g.directives == nil {
		return
	}
	g.timers.add(timer{at: g.now + g.directives.tickInterval, kind: timerDirectives})
	if g.peers == nil { // no other gateway is reached: the directives stay as they are, and become stale
		return
	}
	var names []string
	for _, member := range g.peers.replica.Members() {
		names = append(names, member.Name)
	}
	g.runDirectiveOutcomes(g.directives.proposer.Tick(g.now, names))
}

// runDirectiveOutcomes carries out what the replica of the directives asks for.
func (g *Gateway) runDirectiveOutcomes(effects []directives.Effect) {
	for _, effect := range effects {
		switch outcome := effect.(type) {
		case directives.Send:
			channel := ChannelConsensus
			if outcome.Channel == directives.ChannelState {
				channel = ChannelDirectives
			}
			g.emit(SendToMember{To: outcome.To, Channel: channel, Data: outcome.Data})
		case directives.Persist:
			g.emit(PersistVoterLog{Batch: outcome.Batch})
		case directives.Applied:
			g.log(Info, "directives: changed", Attr{keyIndex, outcome.Index}, Attr{keyInForce, len(g.directives.proposer.State().Directives)})
			g.applyDirectives()
		case directives.Reply:
			g.answerProposal(outcome.RequestID, outcome.Index, outcome.Err)
		case directives.Log:
			g.log(Warn, outcome.Text)
		}
	}
}

// applyDirectives takes over the directives that are in force now.
func (g *Gateway) applyDirectives() {
	state := g.directives
	if state == nil {
		return
	}
	inForce := state.proposer.State()
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
		g.tellModule(rules.FleetUpdate{Mode: rules.UpdateDelta, Engines: changed})
	}
	g.applyZoneSettings()
}

// drainsEngine reports whether a directive drains an engine.
func (g *Gateway) drainsEngine(id string) bool {
	return g.directives != nil && slices.Contains(g.directives.proposer.State().Subjects(directives.DrainEngine), id)
}

// rejectsClass reports whether a directive rejects requests of a class.
func (g *Gateway) rejectsClass(class int) bool {
	return g.directives != nil && g.directives.rejectedClasses[class]
}

// logDirectives logs the directives in force, and where this gateway is a voter how it stands.
func (g *Gateway) logDirectives() {
	state := g.directives
	if state == nil {
		return
	}
	inForce := state.proposer.State()
	attrs := []Attr{{keyIndex, inForce.Index}, {keyInForce, len(inForce.Directives)}}
	if staleness, ok := state.proposer.Staleness(g.now); ok {
		attrs = append(attrs, Attr{"staleness_ms", milliseconds(staleness)})
	}
	if status, ok := state.proposer.Status(); ok {
		attrs = append(attrs, Attr{"leader", status.Leader}, Attr{"term", status.Term}, Attr{"listening", status.Listens}, Attr{"broken", status.Broken})
	}
	g.log(Info, "directives", attrs...)
}
