package net

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

// resultStore is the folder in which results are kept, and the goroutine that writes to it.
type resultStore struct {
	folder    Folder
	runner    *disk.Worker
	recovered []spool.Event // at the start, until the reducer has them
}

const (
	segmentSize          = 32 << 20
	maxQueuedDiskEffects = 4096 // effects that wait for the disk
	wasteDivisor         = 8    // a part of the room that may be waste before segments are compacted, as a divisor
)

// openResultStore opens the operator's folder before anything else: another process that uses it ends this one.
func (s *Server) openResultStore() error {
	if s.cfg.Site == nil || s.cfg.Site.Spool == nil || s.cfg.Site.Spool.Folder == "" {
		return nil
	}
	set := s.cfg.Site.Spool
	folder, err := retryStart(s, "spool", func() (Folder, error) { return s.platform.OpenFolder(set.Folder) })
	if err != nil {
		return err
	}
	var salt [8]byte
	if _, err := rand.Read(salt[:]); err != nil {
		folder.Close()
		return err
	}
	start := s.now()
	var rec *disk.Recovery
	store, err := retryStart(s, "spool", func() (store *disk.Store, err error) {
		store, rec, err = disk.Open(folder, disk.Options{SegmentBytes: segmentSize, Salt: binary.LittleEndian.Uint64(salt[:])})
		return store, err
	})
	if err != nil {
		folder.Close()
		return err
	}
	s.results = &resultStore{folder: folder}
	for _, f := range rec.Results {
		s.results.recovered = append(s.results.recovered, spool.Event{Kind: spool.ResultRecovered, ID: f.ID, Secret: f.Meta.Secret, Tenant: f.Meta.Tenant,
			Class: int(f.Meta.Class), Created: rules.Time(f.Meta.Created), LeaseEnd: rules.Time(f.Meta.LeaseEnd), Locations: f.Locations})
	}
	s.log.Info("spool opened", zap.String("folder", set.Folder), zap.Int("results", len(rec.Results)), zap.Int("damaged", len(rec.Lost)),
		zap.Int("unfinished", rec.Unfinished), zap.Int64("torn_bytes", rec.TornBytes), zap.Int64("took_ms", int64((s.now()-start)/rules.Millisecond)))
	for _, d := range rec.Damage {
		s.log.Warn("spool: damaged", zap.Uint32("segment", d.Segment), zap.Int64("at", d.Offset), zap.Int64("bytes", d.Size),
			zap.String("result", fmt.Sprintf("%x", d.ID[:])))
	}
	s.results.runner = disk.NewWorker(store, maxQueuedDiskEffects, set.Budget.DiskBytes/wasteDivisor,
		func(events []spool.Event) {
			s.queue.enqueue(gateway.SpoolCompleted{Events: events})
		},
		func(err error) { s.log.Warn("spool: the disk fails", zap.Error(err)) })
	return nil
}

// closeResultStore writes what is still to be written and lets the folder go.
func (s *Server) closeResultStore() {
	if s.results == nil {
		return
	}
	if !returnsWithin(diskCloseTimeout, func() {
		if err := s.results.runner.Close(); err != nil {
			s.log.Warn("spool: not closed in order", zap.Error(err))
		}
		s.results.folder.Close()
	}) {
		s.log.Warn("spool: the disk hangs, left as it is")
	}
}

// submitToResultStore hands an effect to the disk. What it can't take is answered as failed, for the reducer to see.
func (s *Server) submitToResultStore(effect spool.Effect) {
	if s.results != nil && s.results.runner.Submit(effect) == nil {
		return
	}
	ev := spool.Event{ID: effect.ID, Index: effect.Index, Failed: true}
	switch effect.Kind {
	case spool.WriteRecord:
		ev.Kind, ev.Record = spool.RecordWritten, effect.Record
	case spool.LoadChunk:
		ev.Kind, ev.Reader = spool.ChunkLoaded, effect.Reader
	default:
		return
	}
	s.queue.enqueue(gateway.SpoolCompleted{Events: []spool.Event{ev}})
}

// reportDrained tells the reducer once that a connection has taken all that was written to it.
func (s *Server) reportDrained(c *conn) {
	if c.notifyDrained.Swap(false) {
		s.queue.enqueue(gateway.WriteDrained{Conn: c.id})
	}
}
