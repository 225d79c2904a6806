package transport

import (
	"context"
	"time"

	"go.uber.org/zap"

	"foxlane/internal/config"
	"foxlane/internal/syserr"
)

// This file has the reading of the configuration while the gateway serves. A read may fail transiently, or hang where a
// mount does: neither holds up serving, a later SIGHUP or the end.

const (
	reloadTimeout     = 2 * time.Second // a read that takes longer is left to itself
	reloadRetryPause  = 20 * time.Millisecond
	maxHangingReloads = 4 // that may hang at once
)

// reloadState is how far the reading of the configuration has got. Only the reducer's goroutine uses it.
type reloadState struct {
	results chan reloadResult
	current int              // number of the read that is waited for; 0: none
	last    int              // number of the latest read
	hanging int              // reads that have not returned
	timeout <-chan time.Time // of the current read
}

// reloadResult is a configuration that was read, or why it could not be.
type reloadResult struct {
	number int
	cfg    config.Config
	err    error
}

func newReloadState() reloadState {
	return reloadState{results: make(chan reloadResult, maxHangingReloads)}
}

// startReload reads the configuration again, in a goroutine of its own: one that hangs can't be stopped.
func (s *Server) startReload(r *reloadState) {
	if r.hanging >= maxHangingReloads {
		s.log.Warn("configuration kept as it was: earlier reads of it hang", zap.Int("reads", r.hanging))
		return
	}
	r.last++
	r.current = r.last
	r.hanging++
	r.timeout = time.After(reloadTimeout)
	number, old := r.current, s.cfg
	go func() {
		cfg, err := readConfigWithRetry(s.ctx, old)
		r.results <- reloadResult{number, cfg, err} // buffered for all that may be under way
	}()
}

// readConfigWithRetry reads the configuration, and again where that fails transiently.
func readConfigWithRetry(ctx context.Context, old config.Config) (config.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, reloadTimeout/2)
	defer cancel()
	for pause := reloadRetryPause; ; pause *= 2 {
		cfg, err := old.Reload() // keeps the entropy
		if err == nil || !syserr.Transient(err) || !sleep(ctx, pause) {
			return cfg, err
		}
	}
}

// finishReload takes what a read came to. It answers whether its configuration holds from now on.
func (s *Server) finishReload(r *reloadState, x reloadResult) bool {
	r.hanging--
	if x.number != r.current {
		return false // it was abandoned, and another may have begun since
	}
	r.current, r.timeout = 0, nil
	if x.err != nil {
		s.log.Warn("configuration kept as it was", zap.Error(x.err))
		return false
	}
	return true
}

// abandonReload leaves a read to itself that hangs.
func (s *Server) abandonReload(r *reloadState) {
	r.current, r.timeout = 0, nil
	s.log.Warn("configuration kept as it was: reading it takes too long", zap.Duration("waited", reloadTimeout))
}
