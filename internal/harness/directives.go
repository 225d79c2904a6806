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

const controlTimeout = 7 * time.Second

// controlRequest asks a gateway something where it answers operators.
func (g *gateway) controlRequest(text string, answer any) error {
	c, err := net.DialTimeout("tcp", g.controlAddr.String(), time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(controlTimeout))
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

// setDirective asks a gateway for a directive, without waiting for its answer here.
func (f *fleet) setDirective(g *gateway, text string) {
	kind, subject, _ := strings.Cut(text, " ")
	f.mu.Lock()
	f.directiveCount++
	id := fmt.Sprintf("o%d", f.directiveCount)
	f.mu.Unlock()
	f.pendingDirectives.Go(func() {
		var answer struct{ Index uint64 }
		err := g.controlRequest(fmt.Sprintf(`{"id":%q,"op":"set","kind":%q,"subject":%q}`, id, kind, subject), &answer)
		f.recorder.mu.Lock()
		defer f.recorder.mu.Unlock()
		said := fmt.Sprintf("holds as of %d", answer.Index)
		if err != nil {
			said = err.Error()
			f.recorder.FailedDirectives++
		} else {
			f.recorder.AcceptedDirectives = append(f.recorder.AcceptedDirectives, kind+" "+subject)
		}
		f.recorder.Events = append(f.recorder.Events, Event{At: time.Since(f.recorder.start), Source: g.name, Text: "order " + text + ": " + said})
	})
}

const convergeTimeout = 6 * time.Second

// checkDirectives waits until the books of all gateways agree, and looks for what was said to hold.
func (f *fleet) checkDirectives() {
	if f.Voters == 0 {
		return
	}
	f.pendingDirectives.Wait()
	type book struct {
		Index uint64
		Held  []struct{ Kind, Subject string }
	}
	var last string
	for until := time.Now().Add(convergeTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		last = ""
		for _, g := range f.gateways {
			var b book
			if err := g.controlRequest("book", &b); err != nil {
				last = fmt.Sprintf("%s does not tell its book: %v", g.name, err)
				break
			}
			var held []string
			for _, d := range b.Held {
				held = append(held, d.Kind+" "+d.Subject)
			}
			for _, o := range f.recorder.AcceptedDirectives {
				if !slices.Contains(held, o) {
					last = fmt.Sprintf("%s was said to hold, and %s holds %v as of %d", o, g.name, held, b.Index)
				}
			}
		}
		if last == "" {
			return
		}
	}
	f.recorder.addUnclassified("%s", last)
}
