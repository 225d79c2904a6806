package transport

import (
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"foxlane/internal/directives"
	"foxlane/internal/gateway"
)

// This file has the log of a voter on directives, and the goroutine that writes it.

// voterWorker persists what a voter on directives has promised.
type voterWorker struct {
	log       VoterLog
	batches   chan directives.Batch
	writer    sync.WaitGroup
	recovered directives.PersistedState // what the log held at the start
}

const (
	maxQueuedBatches = 64                     // batches that wait for the disk: few ever do, one and a snapshot
	voterRepairPause = 100 * time.Millisecond // for which a disk that failed is left alone
)

// errNoVoterLog is why a batch is not persisted: there is no log, or too much waits for it.
var errNoVoterLog = errors.New("directives: no disk to keep a vote on")

// openVoterLog opens the voter's log and starts its writer, if this gateway is a voter.
func (s *Server) openVoterLog() error {
	if s.cfg.Site == nil || s.cfg.Site.Directives == nil || s.cfg.Site.Members == nil || s.cfg.Site.Directives.LogFolder == "" ||
		!slices.Contains(s.cfg.Site.Directives.Voters, s.cfg.Name) {
		return nil
	}
	v := &voterWorker{batches: make(chan directives.Batch, maxQueuedBatches)}
	open := func() (err error) {
		v.log, v.recovered, err = s.platform.OpenVoterLog(s.cfg.Site.Directives.LogFolder)
		return err
	}
	if err := s.retryStart("voter's log", open); err != nil {
		return err
	}
	state := v.recovered
	v.writer.Go(func() {
		for batch := range v.batches {
			s.queue.enqueue(gateway.VoterLogPersisted{Err: s.persistWithRetry(v.log, batch)})
		}
	})
	s.voter = v
	s.log.Info("directives: voter's log opened", zap.Bool("made", state.Initialized), zap.Int("entries", len(state.Entries)), zap.Bool("snapshot", state.Snapshot != nil))
	return nil
}

// persistWithRetry persists a batch, and repairs the log and tries again where that fails, until it is persisted or the
// process ends. No promise that rests on the batch is made meanwhile: a voter whose disk fails is one that is slow.
func (s *Server) persistWithRetry(log VoterLog, batch directives.Batch) error {
	for failed := false; ; failed = true {
		err := log.Persist(batch)
		if err == nil {
			if failed {
				s.log.Info("directives: the voter's disk works again")
			}
			return nil
		}
		s.log.Warn("directives: the voter's disk fails", zap.Error(err))
		for {
			if !sleep(s.ctx, voterRepairPause) {
				return err
			}
			if err = log.Repair(); err == nil {
				break
			}
			s.log.Warn("directives: the voter's log can't be repaired yet", zap.Error(err))
		}
	}
}

// closeVoterLog persists what is queued and closes the log, within a bounded time.
func (s *Server) closeVoterLog() {
	v := s.voter
	if v == nil {
		return
	}
	s.cancel() // retries end
	close(v.batches)
	if !returnsWithin(diskCloseTimeout, func() { v.writer.Wait(); v.log.Close() }) {
		s.log.Warn("directives: the voter's disk hangs, left as it is")
	}
}

// persist queues a batch for the voter's log.
func (s *Server) persist(batch directives.Batch) {
	if s.voter == nil {
		s.queue.enqueue(gateway.VoterLogPersisted{Err: errNoVoterLog})
		return
	}
	select {
	case s.voter.batches <- batch:
	default:
		s.queue.enqueue(gateway.VoterLogPersisted{Err: errNoVoterLog})
	}
}
