package directives

import (
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"slices"

	"foxlane/rules"
)

// This file has a gateway hold the book, whether it votes or not: who does not follows what voters say is committed. Anybody tells how
// far the book goes; the book itself is taken from voters only.

// Channels of what is said.
const (
	ChannelVotes = iota + 1
	ChannelBooks
)

const (
	announceEvery = rules.Second
	askEvery      = 500 * rules.Millisecond
)

const (
	bookTold  byte = iota + 1 // how far ours goes, and whether we see a quorum
	bookAsked                 // give me yours
	bookGiven                 // here it is
)

// Desk is a gateway's.
type Desk struct {
	set      Settings
	voter    *Voter // nil: we don't vote, or have not opened the log yet
	book     Book
	rng      *rand.Rand
	announce rules.Time
	asked    rules.Time
	fresh    rules.Time // when a voter that sees a quorum last told of no more than we have; 0: never
	ticked   rules.Time
	out      []Outcome
}

// Outcome is an effect of a desk: one of a voter's, or something said on the channel of books.
type Outcome struct {
	Effect
	Channel int
}

// NewDesk returns one without a book.
func NewDesk(set Settings, seed uint64) *Desk {
	return &Desk{set: set, rng: rand.New(rand.NewPCG(seed, 0x2545f4914f6cdd1d))}
}

// Votes answers whether this gateway is one of the voters.
func (d *Desk) Votes() bool { return d.set.id(d.set.Self) != 0 }

// Open begins to vote with what the disk held.
func (d *Desk) Open(now rules.Time, kept Kept) error {
	v, err := NewVoter(d.set, kept, now)
	if err != nil {
		return err
	}
	d.voter = v
	return nil
}

// Book is what holds here. It is not to be changed.
func (d *Desk) Book() *Book {
	if d.voter != nil && d.voter.book.Index >= d.book.Index {
		return &d.voter.book
	}
	return &d.book
}

// Status is how a voter stands; ok is false for others.
func (d *Desk) Status() (s Status, ok bool) {
	if d.voter == nil {
		return s, false
	}
	return d.voter.Status(), true
}

// Age is for how long nobody who sees a quorum has confirmed the book; ok is false if nobody ever has.
func (d *Desk) Age(now rules.Time) (age rules.Time, ok bool) {
	return now - d.fresh, d.fresh != 0
}

// quorum answers whether we vote and see a leader.
func (d *Desk) quorum() bool {
	if d.voter == nil || d.voter.broken {
		return false
	}
	return d.voter.Status().Leader != ""
}

// Tick lets time pass, among these members.
func (d *Desk) Tick(now rules.Time, members []string) []Outcome {
	d.out = d.out[:0]
	if d.voter != nil && now-d.ticked >= d.set.Tick {
		d.ticked = now
		d.take(d.voter.Handle(now, Event{Kind: Tick}))
	}
	if d.quorum() {
		d.fresh = now
	}
	if len(members) > 0 && now-d.announce >= announceEvery {
		d.announce = now
		d.say(members[d.rng.IntN(len(members))], d.told())
	}
	return d.out
}

func (d *Desk) take(effects []Effect) {
	for _, f := range effects {
		d.out = append(d.out, Outcome{f, ChannelVotes})
	}
}

func (d *Desk) say(to string, data []byte) {
	d.out = append(d.out, Outcome{Effect{Kind: Send, To: to, Data: data}, ChannelBooks})
}

func (d *Desk) told() []byte {
	b := binary.LittleEndian.AppendUint64([]byte{bookTold}, d.Book().Index)
	if d.quorum() {
		return append(b, 1)
	}
	return append(b, 0)
}

// Handle takes an event of the voter's.
func (d *Desk) Handle(now rules.Time, e Event) []Outcome {
	d.out = d.out[:0]
	if d.voter == nil {
		if e.Kind == Propose {
			d.out = append(d.out, Outcome{Effect{Kind: Answer, Ask: e.Ask, Err: ErrBroken}, ChannelVotes})
		}
		return d.out
	}
	if e.Kind == Came && d.voter.Forgotten(e.From, e.Data) {
		e = Event{}
	}
	d.take(d.voter.Handle(now, e))
	return d.out
}

// Said takes what a member says of books. What can't be used is let pass.
func (d *Desk) Said(now rules.Time, from string, data []byte) []Outcome {
	d.out = d.out[:0]
	if len(data) == 0 {
		return nil
	}
	votes := d.set.id(from) != 0
	switch data[0] {
	case bookTold:
		if len(data) != 10 {
			return nil
		}
		index, quorum := binary.LittleEndian.Uint64(data[1:]), data[9] == 1
		switch ours := d.Book().Index; {
		case index > ours && !d.Votes() && now-d.asked >= askEvery:
			to := from
			if !votes {
				to = d.set.Voters[d.rng.IntN(len(d.set.Voters))]
			}
			d.asked = now
			d.say(to, []byte{bookAsked})
		case index < ours:
			d.say(from, d.told())
		case index == ours && votes && quorum:
			d.fresh = now
		}
	case bookAsked:
		if d.voter != nil {
			d.say(from, append([]byte{bookGiven}, d.voter.book.encode()...))
		}
	case bookGiven:
		var b Book
		if !votes || d.Votes() || json.Unmarshal(data[1:], &b) != nil || b.Index <= d.book.Index || len(b.Held) > mostDirectives ||
			!slices.IsSortedFunc(b.Held, compare) {
			return nil
		}
		d.book = b
		d.out = append(d.out, Outcome{Effect{Kind: Applied, Index: b.Index}, ChannelBooks})
	}
	return d.out
}
