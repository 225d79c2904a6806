package gateway

import (
	"encoding/json"
	"fmt"
	"slices"

	"foxlane/internal/config"
	"foxlane/internal/directives"
	"foxlane/rules"
)

// This file carries the operators' directives out: drains of zones and engines, the limit of spill, classes that are refused. The book
// itself, and who may change it, is internal/directives'. It decides nothing; without the block `directives` it does nothing.

// orders is what is held of the directives.
type orders struct {
	desk    *directives.Desk
	refused []bool // by class
	asks    uint64
	asking  map[uint64]ConnID // operators' commands that wait, by ask
}

func newOrders(cfg *config.Config) *orders {
	if cfg.Site == nil || cfg.Site.Directives == nil || cfg.Site.Members == nil {
		return nil
	}
	set := directives.Settings{Self: cfg.Name, Voters: cfg.Site.Directives.Voters, Tick: cfg.Site.Directives.Tick}
	return &orders{desk: directives.NewDesk(set, cfg.Seed), refused: make([]bool, len(cfg.Settings.ClassNames)), asking: map[uint64]ConnID{}}
}

func (g *Gateway) beginOrders() {
	if g.orders = newOrders(&g.cfg); g.orders != nil {
		g.timers.add(timer{at: g.now + g.cfg.Site.Directives.Tick, kind: timerOrders})
	}
}

// voterOpened: the voter's log was read at the start.
func (g *Gateway) voterOpened(kept *directives.Kept) {
	if g.orders == nil || kept == nil {
		return
	}
	if err := g.orders.desk.Open(g.now, *kept); err != nil {
		g.log(Warn, "directives: this voter can't begin", Attr{"error", err.Error()})
	}
	g.obey()
}

// tickOrders lets time pass.
func (g *Gateway) tickOrders() {
	if g.orders == nil {
		return
	}
	g.timers.add(timer{at: g.now + g.cfg.Site.Directives.Tick, kind: timerOrders})
	if g.peers == nil { // talk is switched off: the book stays as it is, and grows old
		return
	}
	var names []string
	for _, m := range g.peers.copies.Members() {
		names = append(names, m.Name)
	}
	g.carryOrders(g.orders.desk.Tick(g.now, names))
}

func (g *Gateway) carryOrders(out []directives.Outcome) {
	for _, f := range out {
		switch f.Kind {
		case directives.Send:
			channel := ChannelVotes
			if f.Channel == directives.ChannelBooks {
				channel = ChannelBooks
			}
			g.do(Effect{Kind: SendToMember, To: f.To, Channel: channel, Data: f.Data})
		case directives.Persist:
			g.do(Effect{Kind: PersistVoterLog, Batch: f.Batch})
		case directives.Applied:
			g.log(Info, "directives: the book has changed", Attr{"index", f.Index}, Attr{"held", len(g.orders.desk.Book().Held)})
			g.obey()
		case directives.Answer:
			g.answerOrder(f.Ask, f.Index, f.Err)
		case directives.Told:
			g.log(Warn, f.Text)
		}
	}
}

// obey goes over to what the book says now.
func (g *Gateway) obey() {
	o := g.orders
	if o == nil {
		return
	}
	b := o.desk.Book()
	refused := b.Of(directives.RefuseClass)
	for i, name := range g.cfg.Settings.ClassNames {
		o.refused[i] = slices.Contains(refused, name)
	}
	drains := b.Of(directives.DrainEngine)
	var news []rules.Engine
	for _, e := range g.order {
		if ordered := slices.Contains(drains, e.entry.ID); ordered != e.ordered {
			if e.ordered, e.told = ordered, g.now; e.state == rules.EngineServing {
				news = append(news, g.translate(e))
			}
		}
	}
	if len(news) > 0 {
		g.tell(rules.FleetUpdate{Mode: rules.UpdateDelta, Engines: news})
	}
	g.retuneZones()
}

// drained answers whether the book drains an engine.
func (g *Gateway) drainsEngine(id string) bool {
	return g.orders != nil && slices.Contains(g.orders.desk.Book().Of(directives.DrainEngine), id)
}

// refusesClass answers whether the book refuses a class.
func (g *Gateway) refusesClass(class int) bool { return g.orders != nil && g.orders.refused[class] }

// logOrders notes the book and how a voter stands.
func (g *Gateway) logOrders() {
	o := g.orders
	if o == nil {
		return
	}
	b := o.desk.Book()
	attrs := []Attr{{"index", b.Index}, {"held", len(b.Held)}}
	if age, ok := o.desk.Age(g.now); ok {
		attrs = append(attrs, Attr{"age_ms", int64(age / rules.Millisecond)})
	}
	if s, ok := o.desk.Status(); ok {
		attrs = append(attrs, Attr{"leader", s.Leader}, Attr{"term", s.Term}, Attr{"listens", s.Listens}, Attr{"broken", s.Broken})
	}
	g.log(Info, "directives", attrs...)
}

// ---- operators' commands

// BookLine is the book as `foxlane directive list` shows it.
type BookLine struct {
	Index   uint64                 `json:"index"`
	Held    []directives.Directive `json:"held"`
	History []directives.Change    `json:"history"`
	AgeMS   int64                  `json:"age_ms"` // since a voter that sees a quorum confirmed it; -1: never
	Votes   bool                   `json:"votes"`
	Voters  []string               `json:"voters"`
	Status  *directives.Status     `json:"status,omitempty"`
}

func (g *Gateway) tellBook() any {
	o := g.orders
	if o == nil {
		return map[string]string{"error": "directives are off"}
	}
	b := o.desk.Book()
	l := BookLine{Index: b.Index, Held: b.Held, History: b.History, AgeMS: -1, Votes: o.desk.Votes(), Voters: g.cfg.Site.Directives.Voters}
	if age, ok := o.desk.Age(g.now); ok {
		l.AgeMS = int64(age / rules.Millisecond)
	}
	if s, ok := o.desk.Status(); ok {
		l.Status = &s
	}
	return l
}

// order takes an operator's command. Its answer may come later; a question that is none is answered at once.
func (g *Gateway) takeOrder(conn ConnID, raw []byte) {
	o := g.orders
	var c directives.Command
	err := json.Unmarshal(raw, &c)
	switch {
	case o == nil:
		err = fmt.Errorf("directives are off")
	case err == nil && !o.desk.Votes():
		err = fmt.Errorf("%s does not vote: ask one of %v", g.cfg.Name, g.cfg.Site.Directives.Voters)
	case err == nil:
		err = c.Validate()
	}
	if err != nil {
		g.reply(conn, map[string]string{"error": err.Error()})
		return
	}
	o.asks++
	o.asking[o.asks] = conn
	g.carryOrders(o.desk.Handle(g.now, directives.Event{Kind: directives.Propose, Command: c, Ask: o.asks}))
}

func (g *Gateway) answerOrder(ask, index uint64, err error) {
	conn, ok := g.orders.asking[ask]
	if !ok {
		return
	}
	delete(g.orders.asking, ask)
	if err != nil {
		g.reply(conn, map[string]string{"error": err.Error()})
		return
	}
	g.reply(conn, map[string]uint64{"index": index})
}
