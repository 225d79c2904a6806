package transport

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"

	"go.uber.org/zap"

	"foxlane/internal/gateway"
	"foxlane/internal/spool"
	"foxlane/internal/spool/disk"
	"foxlane/rules"
)

// This file stores the spool's results on disk.

// resultStore is the folder that stores results and the worker that reads and writes it.
type resultStore struct {
	folder    Folder
	worker    *disk.Worker
	recovered []spool.Event // results found in the folder at the start, until the reducer receives them
}

const (
	segmentSize          = 32 << 20 // bytes
	maxQueuedDiskEffects = 4096
	wasteDivisor         = 8 // segments are compacted once 1/wasteDivisor of the disk budget is waste
)

// openResultStore opens the configured folder, recovers its results and starts the disk worker. It does nothing if no
// folder is configured.
func (s *Server) openResultStore() error {
	if s.cfg.Site == nil || s.cfg.Site.Spool == nil || s.cfg.Site.Spool.Folder == "" {
		return nil
	}
	spoolCfg := s.cfg.Site.Spool
	var folder Folder
	openFolder := func() (err error) { folder, err = s.platform.OpenFolder(spoolCfg.Folder); return err }
	if err := s.retryStart("spool", openFolder); err != nil {
		return err
	}
	start := s.now()
	store, recovery, err := s.openStore(folder)
	if err != nil {
		_ = folder.Close() // nothing was written
		return err
	}
	s.results = &resultStore{folder: folder}
	for _, result := range recovery.Results {
		s.results.recovered = append(s.results.recovered, spool.ResultRecovered{ID: result.ID, Secret: result.Meta.Secret,
			Tenant: result.Meta.Tenant, Class: int(result.Meta.Class), Created: rules.Time(result.Meta.Created),
			LeaseEnd: rules.Time(result.Meta.LeaseEnd), Locations: result.Locations})
	}
	s.logRecovery(spoolCfg.Folder, recovery, s.now()-start)
	s.results.worker = disk.NewWorker(store, maxQueuedDiskEffects, spoolCfg.Budget.DiskBytes/wasteDivisor,
		func(events []spool.Event) { s.queue.enqueue(gateway.SpoolCompleted{Events: events}) },
		func(err error) { s.log.Warn("spool: the disk fails", zap.Error(err)) })
	return nil
}

// openStore opens the store in a folder and recovers its results.
func (s *Server) openStore(folder Folder) (store *disk.Store, recovery *disk.Recovery, err error) {
	var salt [8]byte
	if _, err := rand.Read(salt[:]); err != nil {
		return nil, nil, fmt.Errorf("spool: salt: %w", err)
	}
	options := disk.Options{SegmentBytes: segmentSize, Salt: binary.LittleEndian.Uint64(salt[:])}
	err = s.retryStart("spool", func() (err error) {
		store, recovery, err = disk.Open(folder, options)
		return err
	})
	return store, recovery, err
}

// logRecovery logs what was recovered from a folder, and each damaged range.
func (s *Server) logRecovery(folder string, recovery *disk.Recovery, took rules.Time) {
	s.log.Info("spool opened", zap.String("folder", folder), zap.Int("results", len(recovery.Results)), zap.Int("damaged", len(recovery.Lost)),
		zap.Int("unfinished", recovery.Unfinished), zap.Int64("torn_bytes", recovery.TornBytes), zap.Int64("took_ms", int64(took/rules.Millisecond)))
	for _, damage := range recovery.Damage {
		s.log.Warn("spool: damaged", zap.Uint32("segment", damage.Segment), zap.Int64("at", damage.Offset), zap.Int64("bytes", damage.Size),
			zap.String("result", fmt.Sprintf("%x", damage.ID[:])))
	}
}

// closeResultStore finishes queued writes and unlocks the folder, within diskCloseTimeout and before the process is to have exited.
func (s *Server) closeResultStore() {
	if s.results == nil {
		return
	}
	if !returnsWithin(s.closeTimeout(diskCloseTimeout), func() {
		if err := s.results.worker.Close(); err != nil {
			s.log.Warn("spool: not closed in order", zap.Error(err))
		}
		_ = s.results.folder.Close() // the lock ends with the process in any case
	}) {
		s.log.Warn("spool: the disk hangs, left as it is")
	}
}

// submitToResultStore queues an effect for the disk worker. An effect that can't be queued is reported as failed.
func (s *Server) submitToResultStore(effect spool.DiskEffect) {
	if s.results != nil && s.results.worker.Submit(effect) == nil {
		return
	}
	var failed spool.Event
	switch effect := effect.(type) {
	case spool.WriteRecord:
		failed = spool.RecordWritten{ID: effect.ID, Record: effect.Record, Index: effect.Index, Failed: true}
	case spool.LoadChunk:
		failed = spool.ChunkLoaded{Reader: effect.Reader, Index: effect.Index, Failed: true}
	case spool.DiscardRecords:
		return // the reducer expects no event for it
	}
	s.queue.enqueue(gateway.SpoolCompleted{Events: []spool.Event{failed}})
}
