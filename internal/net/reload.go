package net

import (
	"context"
	"time"

	"go.uber.org/zap"

	"foxlane/internal/config"
	"foxlane/internal/syserr"
)

// This file owns the reading of the configuration while the gateway serves. A read may fail for a moment, or hang where a
// mount does: neither holds up serving, a later SIGHUP or the end.

const (
	reloadWithin = 2 * time.Second // a read that takes longer is left to itself
	reloadPause  = 20 * time.Millisecond
	reloadsMost  = 4 // that may hang at once
)

// reloads is how far the reading of the configuration has come. The reducer's goroutine has it.
type reloads struct {
	read    chan reloaded
	current int // the read that is waited for; 0: none
	last    int
	hanging int
	timeout <-chan time.Time
}

// reloaded is a configuration that was read, or why it could not be.
type reloaded struct {
	number int
	cfg    config.Config
	err    error
}

func newReloads() reloads { return reloads{read: make(chan reloaded, reloadsMost)} }

// begin reads the configuration again, off the reducer's goroutine.
func (e *Edge) beginReload(r *reloads) {
	if r.hanging >= reloadsMost {
		e.log.Warn("configuration kept as it was: earlier reads of it hang", zap.Int("reads", r.hanging))
		return
	}
	r.last++
	r.current = r.last
	r.hanging++
	r.timeout = time.After(reloadWithin)
	number, old := r.current, e.cfg
	go func() {
		cfg, err := readAgain(e.over, old)
		r.read <- reloaded{number, cfg, err} // there is room for all that may be under way
	}()
}

// readAgain reads the configuration, and again where that failed for a moment.
func readAgain(ctx context.Context, old config.Config) (config.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, reloadWithin/2)
	defer cancel()
	for pause := reloadPause; ; pause *= 2 {
		cfg, err := old.Reload() // keeps the entropy
		if err == nil || !syserr.Passing(err) || !sleep(ctx, pause) {
			return cfg, err
		}
	}
}

// ended takes what a read came to. It answers whether the configuration is to be gone over to.
func (e *Edge) endReload(r *reloads, x reloaded) bool {
	r.hanging--
	if x.number != r.current {
		return false // it was given up, and another may have begun since
	}
	r.current, r.timeout = 0, nil
	if x.err != nil {
		e.log.Warn("configuration kept as it was", zap.Error(x.err))
		return false
	}
	return true
}

// giveUpReload leaves a read to itself that hangs.
func (e *Edge) giveUpReload(r *reloads) {
	r.current, r.timeout = 0, nil
	e.log.Warn("configuration kept as it was: reading it takes too long", zap.Duration("waited", reloadWithin))
}
