package harness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

// This file gives orders as operators do, and judges at the end whether what was said to hold does, everywhere.

const orderWithin = 7 * time.Second

// question asks a gateway something where it answers operators.
func (g *gateway) question(text string, answer any) error {
	c, err := net.DialTimeout("tcp", g.askAt.String(), time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(orderWithin))
	if _, err := fmt.Fprintln(c, text); err != nil {
		return err
	}
	line, err := bufio.NewReader(c).ReadBytes('\n')
	if err != nil {
		return err
	}
	var failed struct{ Error string }
	if json.Unmarshal(line, &failed) == nil && failed.Error != "" {
		return fmt.Errorf("%s", failed.Error)
	}
	return json.Unmarshal(line, answer)
}

// order asks a gateway for a directive, without waiting for its answer here.
func (r *Rig) order(g *gateway, text string) {
	kind, subject, _ := strings.Cut(text, " ")
	r.mu.Lock()
	r.orders++
	id := fmt.Sprintf("o%d", r.orders)
	r.mu.Unlock()
	r.answers.Go(func() {
		var answer struct{ Index uint64 }
		err := g.question(fmt.Sprintf(`{"id":%q,"op":"set","kind":%q,"subject":%q}`, id, kind, subject), &answer)
		r.books.mu.Lock()
		defer r.books.mu.Unlock()
		said := fmt.Sprintf("holds as of %d", answer.Index)
		if err != nil {
			said = err.Error()
			r.books.Unheld++
		} else {
			r.books.Ordered = append(r.books.Ordered, kind+" "+subject)
		}
		r.books.Events = append(r.books.Events, Event{At: time.Since(r.books.start), Who: g.name, Text: "order " + text + ": " + said})
	})
}

const settleWithin = 6 * time.Second

// judgeOrders waits until the books of all gateways agree, and looks for what was said to hold.
func (r *Rig) judgeOrders() {
	if r.Voters == 0 {
		return
	}
	r.answers.Wait()
	type book struct {
		Index uint64
		Held  []struct{ Kind, Subject string }
	}
	var last string
	for until := time.Now().Add(settleWithin); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		last = ""
		for _, g := range r.gateways {
			var b book
			if err := g.question("book", &b); err != nil {
				last = fmt.Sprintf("%s does not tell its book: %v", g.name, err)
				break
			}
			var held []string
			for _, d := range b.Held {
				held = append(held, d.Kind+" "+d.Subject)
			}
			for _, o := range r.books.Ordered {
				if !slices.Contains(held, o) {
					last = fmt.Sprintf("%s was said to hold, and %s holds %v as of %d", o, g.name, held, b.Index)
				}
			}
		}
		if last == "" {
			return
		}
	}
	r.books.breach("%s", last)
}
