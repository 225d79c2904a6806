package transport

import (
	"context"
	"time"

	"go.uber.org/zap"

	"foxlane/internal/config"
	"foxlane/internal/syserr"
)

// This file reloads the configuration while the gateway serves. A read may fail transiently, or hang if a mount
// hangs; neither delays serving, a later SIGHUP or shutdown.

const (
	reloadTimeout           = 2 * time.Second // a read that takes longer is abandoned
	initialReloadRetryDelay = 20 * time.Millisecond
	maxUnfinishedReloads    = 4 // reads that may hang at the same time
)

// reloadState tracks reads of the configuration. Only the reducer's goroutine uses it.
type reloadState struct {
	results    chan reloadResult
	current    int              // number of the read in progress that has not been abandoned; 0: none
	last       int              // number of the latest read
	unfinished int              // reads that have not returned, including abandoned ones
	timeout    <-chan time.Time // fires when the current read times out
}

// reloadResult is a configuration that was read, or the error of the read.
type reloadResult struct {
	number int
	cfg    config.Config
	err    error
}

func newReloadState() reloadState {
	return reloadState{results: make(chan reloadResult, maxUnfinishedReloads)}
}

// startReload reads the configuration in a goroutine of its own, since a read that hangs can't be stopped.
func (s *Server) startReload(r *reloadState) {
	if r.unfinished >= maxUnfinishedReloads {
		s.log.Warn("configuration kept as it was: earlier reads of it hang", zap.Int("reads", r.unfinished))
		return
	}
	r.last++
	r.current = r.last
	r.unfinished++
	r.timeout = time.After(reloadTimeout)
	number, old := r.current, s.cfg
	go func() {
		defer s.reportPanic("reload")
		cfg, err := readConfigWithRetry(s.ctx, old)
		r.results <- reloadResult{number, cfg, err} // never blocks: the buffer holds all unfinished reads
	}()
}

// readConfigWithRetry reads the configuration, with retries after transient errors for half of reloadTimeout.
func readConfigWithRetry(ctx context.Context, old config.Config) (config.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, reloadTimeout/2)
	defer cancel()
	for delay := initialReloadRetryDelay; ; delay *= 2 {
		cfg, err := old.Reload() // the new configuration keeps the entropy
		if err == nil || !syserr.Transient(err) || !sleep(ctx, delay) {
			return cfg, err
		}
	}
}

// finishReload handles the result of a read. It reports whether the new configuration is to be applied.
func (s *Server) finishReload(r *reloadState, result reloadResult) bool {
	r.unfinished--
	if result.number != r.current {
		return false // the read was abandoned; another may have started since
	}
	r.current, r.timeout = 0, nil
	if result.err != nil {
		s.log.Warn("configuration kept as it was", zap.Error(result.err))
		return false
	}
	return true
}

// abandonReload stops waiting for the current read, whose goroutine continues.
func (s *Server) abandonReload(r *reloadState) {
	r.current, r.timeout = 0, nil
	s.log.Warn("configuration kept as it was: reading it takes too long", zap.Duration("waited", reloadTimeout))
}
