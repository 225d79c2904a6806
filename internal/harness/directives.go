package harness

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

// This file sets directives as operators do, and checks at the end that all directives that a gateway confirmed are in
// effect at every gateway.

const (
	controlTimeout  = 7 * time.Second // for the answer to a control request
	convergeTimeout = 6 * time.Second // until every gateway reports the confirmed directives
)

// controlRequest sends a line to the gateway's control address and decodes the answer. An error in the answer is
// returned.
func (g *gateway) controlRequest(text string, answer any) error {
	c, err := net.DialTimeout("tcp", g.controlAddr.String(), time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
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
		return errors.New(failed.Error)
	}
	return json.Unmarshal(line, answer)
}

// setDirective sends a gateway a request to set a directive and records the outcome, in a goroutine of
// pendingDirectives. The text is the directive's kind and subject.
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
		outcome := fmt.Sprintf("in effect as of index %d", answer.Index)
		if err != nil {
			outcome = err.Error()
			f.recorder.FailedDirectives++
		} else {
			f.recorder.AcceptedDirectives = append(f.recorder.AcceptedDirectives, kind+" "+subject)
		}
		f.recorder.Events = append(f.recorder.Events, Event{At: time.Since(f.recorder.start), Source: g.name, Text: "order " + text + ": " + outcome})
	})
}

// checkDirectives waits until all gateways report every confirmed directive, and adds a violation if they don't within
// convergeTimeout.
func (f *fleet) checkDirectives() {
	if f.Voters == 0 {
		return
	}
	f.pendingDirectives.Wait()
	var missing string
	for until := time.Now().Add(convergeTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if missing = f.missingDirective(); missing == "" {
			return
		}
	}
	f.recorder.addUnclassified("%s", missing)
}

// missingDirective describes a confirmed directive that is not in effect at some gateway; empty if there is none.
func (f *fleet) missingDirective() (missing string) {
	for _, g := range f.gateways {
		var state struct {
			Index uint64
			Held  []struct{ Kind, Subject string }
		}
		if err := g.controlRequest("book", &state); err != nil { // the command that reports the directives in effect
			return fmt.Sprintf("reading the directives of %s failed: %v", g.name, err)
		}
		var inEffect []string
		for _, d := range state.Held {
			inEffect = append(inEffect, d.Kind+" "+d.Subject)
		}
		for _, accepted := range f.recorder.AcceptedDirectives {
			if !slices.Contains(inEffect, accepted) {
				missing = fmt.Sprintf("directive %s was confirmed, but %s has %v in effect as of index %d", accepted, g.name, inEffect, state.Index)
			}
		}
	}
	return missing
}
