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

// This file has the disk on which the spool keeps results.

// resultStore is the folder in which results are kept, and the worker that writes to it.
type resultStore struct {
	folder    Folder
	worker    *disk.Worker
	recovered []spool.Event // what the folder held at the start, until the reducer has it
}

const (
	segmentSize          = 32 << 20
	maxQueuedDiskEffects = 4096
	wasteDivisor         = 8 // one in so many bytes of the budget may be waste before segments are compacted
)

// openResultStore opens the operator's folder, recovers what it holds and starts its worker, if results are kept on a disk.
func (s *Server) openResultStore() error {
	if s.cfg.Site == nil || s.cfg.Site.Spool == nil || s.cfg.Site.Spool.Folder == "" {
		return nil
	}
	set := s.cfg.Site.Spool
	var folder Folder
	openFolder := func() (err error) { folder, err = s.platform.OpenFolder(set.Folder); return err }
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
	for _, found := range recovery.Results {
		s.results.recovered = append(s.results.recovered, spool.ResultRecovered{ID: found.ID, Secret: found.Meta.Secret,
			Tenant: found.Meta.Tenant, Class: int(found.Meta.Class), Created: rules.Time(found.Meta.Created),
			LeaseEnd: rules.Time(found.Meta.LeaseEnd), Locations: found.Locations})
	}
	s.logRecovery(set.Folder, recovery, s.now()-start)
	s.results.worker = disk.NewWorker(store, maxQueuedDiskEffects, set.Budget.DiskBytes/wasteDivisor,
		func(events []spool.Event) { s.queue.enqueue(gateway.SpoolCompleted{Events: events}) },
		func(err error) { s.log.Warn("spool: the disk fails", zap.Error(err)) })
	return nil
}

// openStore reads the folder's segments.
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

func (s *Server) logRecovery(folder string, recovery *disk.Recovery, took rules.Time) {
	s.log.Info("spool opened", zap.String("folder", folder), zap.Int("results", len(recovery.Results)), zap.Int("damaged", len(recovery.Lost)),
		zap.Int("unfinished", recovery.Unfinished), zap.Int64("torn_bytes", recovery.TornBytes), zap.Int64("took_ms", int64(took/rules.Millisecond)))
	for _, damage := range recovery.Damage {
		s.log.Warn("spool: damaged", zap.Uint32("segment", damage.Segment), zap.Int64("at", damage.Offset), zap.Int64("bytes", damage.Size),
			zap.String("result", fmt.Sprintf("%x", damage.ID[:])))
	}
}

// closeResultStore writes what is queued and unlocks the folder, within a bounded time.
func (s *Server) closeResultStore() {
	if s.results == nil {
		return
	}
	if !returnsWithin(diskCloseTimeout, func() {
		if err := s.results.worker.Close(); err != nil {
			s.log.Warn("spool: not closed in order", zap.Error(err))
		}
		_ = s.results.folder.Close() // the end of the process unlocks it in any case
	}) {
		s.log.Warn("spool: the disk hangs, left as it is")
	}
}

// submitToResultStore queues an effect for the disk. One that can't be queued is reported as failed.
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
		return // nothing waits for it
	}
	s.queue.enqueue(gateway.SpoolCompleted{Events: []spool.Event{failed}})
}
