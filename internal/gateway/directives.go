package gateway

import (
	"slices"

	"foxlane/internal/config"
	"foxlane/internal/directives"
	"foxlane/rules"
)

// This file carries the operators' directives out: drains of zones and engines, the limit of spill, classes that are refused. The book
// itself, and who may change it, is internal/directives'. It decides nothing; without the block `directives` it does nothing.

// directiveState is what is held of the directives.
type directiveState struct {
	proposer        *directives.Node
	rejectedClasses []bool // by class
	lastCommand     uint64
	waiting         map[uint64]ConnID // operators' commands that wait, by ask
}

func newDirectives(cfg *config.Config) *directiveState {
	if cfg.Site == nil || cfg.Site.Directives == nil || cfg.Site.Members == nil {
		return nil
	}
	set := directives.Settings{Self: cfg.Name, Voters: cfg.Site.Directives.Voters, TickInterval: cfg.Site.Directives.TickInterval}
	return &directiveState{proposer: directives.NewNode(set, cfg.Seed), rejectedClasses: make([]bool, len(cfg.Settings.ClassNames)), waiting: map[uint64]ConnID{}}
}

func (g *Gateway) startDirectives() {
	if g.directives = newDirectives(&g.cfg); g.directives != nil {
		g.timers.add(timer{at: g.now + g.cfg.Site.Directives.TickInterval, kind: timerDirectives})
	}
}

// voterOpened: the voter's log was read at the start.
func (g *Gateway) voterOpened(kept *directives.PersistedState) {
	if g.directives == nil || kept == nil {
		return
	}
	if err := g.directives.proposer.StartVoter(g.now, *kept); err != nil {
		g.log(Warn, "directives: this voter can't begin", Attr{"error", err.Error()})
	}
	g.applyDirectives()
}

// tickDirectives lets time pass.
func (g *Gateway) tickDirectives() {
	if g.directives == nil {
		return
	}
	g.timers.add(timer{at: g.now + g.cfg.Site.Directives.TickInterval, kind: timerDirectives})
	if g.peers == nil { // talk is switched off: the book stays as it is, and grows old
		return
	}
	var names []string
	for _, member := range g.peers.replica.Members() {
		names = append(names, member.Name)
	}
	g.runDirectiveOutcomes(g.directives.proposer.Tick(g.now, names))
}

func (g *Gateway) runDirectiveOutcomes(out []directives.ChannelEffect) {
	for _, outcome := range out {
		switch outcome.Kind {
		case directives.Send:
			channel := ChannelConsensus
			if outcome.Channel == directives.ChannelState {
				channel = ChannelDirectives
			}
			g.emit(SendToMember{To: outcome.To, Channel: channel, Data: outcome.Data})
		case directives.Persist:
			g.emit(PersistVoterLog{Batch: outcome.Batch})
		case directives.Applied:
			g.log(Info, "directives: the book has changed", Attr{"index", outcome.Index}, Attr{"held", len(g.directives.proposer.State().Directives)})
			g.applyDirectives()
		case directives.Reply:
			g.answerProposal(outcome.RequestID, outcome.Index, outcome.Err)
		case directives.Log:
			g.log(Warn, outcome.Text)
		}
	}
}

// applyDirectives goes over to what the book says now.
func (g *Gateway) applyDirectives() {
	state := g.directives
	if state == nil {
		return
	}
	inForce := state.proposer.State()
	refused := inForce.Subjects(directives.RejectClass)
	for i, name := range g.cfg.Settings.ClassNames {
		state.rejectedClasses[i] = slices.Contains(refused, name)
	}
	drains := inForce.Subjects(directives.DrainEngine)
	var news []rules.Engine
	for _, eng := range g.engineOrder {
		if ordered := slices.Contains(drains, eng.entry.ID); ordered != eng.drainedByDirective {
			if eng.drainedByDirective, eng.stateSince = ordered, g.now; eng.state == rules.EngineServing {
				news = append(news, g.moduleEngine(eng))
			}
		}
	}
	if len(news) > 0 {
		g.tellModule(rules.FleetUpdate{Mode: rules.UpdateDelta, Engines: news})
	}
	g.applyZoneSettings()
}

// drained answers whether the book drains an engine.
func (g *Gateway) drainsEngine(id string) bool {
	return g.directives != nil && slices.Contains(g.directives.proposer.State().Subjects(directives.DrainEngine), id)
}

// rejectsClass answers whether the book refuses a class.
func (g *Gateway) rejectsClass(class int) bool {
	return g.directives != nil && g.directives.rejectedClasses[class]
}

// logDirectives notes the book and how a voter stands.
func (g *Gateway) logDirectives() {
	state := g.directives
	if state == nil {
		return
	}
	inForce := state.proposer.State()
	attrs := []Attr{{"index", inForce.Index}, {"held", len(inForce.Directives)}}
	if age, ok := state.proposer.Staleness(g.now); ok {
		attrs = append(attrs, Attr{"age_ms", int64(age / rules.Millisecond)})
	}
	if s, ok := state.proposer.Status(); ok {
		attrs = append(attrs, Attr{"leader", s.Leader}, Attr{"term", s.Term}, Attr{"listens", s.Listens}, Attr{"broken", s.Broken})
	}
	g.log(Info, "directives", attrs...)
}
