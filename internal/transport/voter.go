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

// voterWorker writes the log of a voter on directives.
type voterWorker struct {
	log       VoterLog
	batches   chan directives.Batch
	writer    sync.WaitGroup
	recovered directives.PersistedState // content of the log at the start
}

const (
	maxQueuedBatches = 64                     // usually at most one batch and a snapshot wait for the disk
	voterRepairDelay = 100 * time.Millisecond // between a disk failure and the next attempt to repair the log
)

// errNoVoterLog means that a batch is not persisted because there is no log or the queue of batches is full.
var errNoVoterLog = errors.New("directives: no voter's log, or its write queue is full")

// openVoterLog opens the voter's log and starts its writer. It does nothing if this gateway is not a voter.
func (s *Server) openVoterLog() error {
	if s.cfg.Site == nil || s.cfg.Site.Directives == nil || s.cfg.Site.Members == nil || s.cfg.Site.Directives.LogFolder == "" ||
		!slices.Contains(s.cfg.Site.Directives.Voters, s.cfg.Name) {
		return nil
	}
	v := &voterWorker{batches: make(chan directives.Batch, maxQueuedBatches)}
	openLog := func() (err error) {
		v.log, v.recovered, err = s.platform.OpenVoterLog(s.cfg.Site.Directives.LogFolder)
		return err
	}
	if err := s.retryStart("voter's log", openLog); err != nil {
		return err
	}
	state := v.recovered
	v.writer.Go(func() {
		defer s.reportPanic("voter's log")
		for batch := range v.batches {
			s.queue.enqueue(gateway.VoterLogPersisted{Err: s.persistWithRetry(v.log, batch)})
		}
	})
	s.voter = v
	s.log.Info("directives: voter's log opened", zap.Bool("made", state.Initialized), zap.Int("entries", len(state.Entries)), zap.Bool("snapshot", state.Snapshot != nil))
	return nil
}

// persistWithRetry persists a batch. After a failure it repairs the log and tries again, until the batch is persisted
// or the process shuts down. The voter makes no promise that depends on the batch until then, so to its peers a voter
// with a failing disk is merely slow.
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
			if !sleep(s.ctx, voterRepairDelay) {
				return err
			}
			if err = log.Repair(); err == nil {
				break
			}
			s.log.Warn("directives: the voter's log can't be repaired yet", zap.Error(err))
		}
	}
}

// closeVoterLog persists the queued batches and closes the log, within diskCloseTimeout and before the process is to have exited.
func (s *Server) closeVoterLog() {
	v := s.voter
	if v == nil {
		return
	}
	s.cancel() // ends retries
	close(v.batches)
	if !returnsWithin(s.closeTimeout(diskCloseTimeout), func() { v.writer.Wait(); v.log.Close() }) {
		s.log.Warn("directives: the voter's disk hangs, left as it is")
	}
}

// persist queues a batch for the voter's log. A batch that can't be queued is reported as failed.
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
