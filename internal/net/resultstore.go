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
func (e *Server) openResultStore() error {
	if e.cfg.Site == nil || e.cfg.Site.Spool == nil || e.cfg.Site.Spool.Folder == "" {
		return nil
	}
	set := e.cfg.Site.Spool
	folder, err := retryStart(e, "spool", func() (Folder, error) { return e.platform.OpenFolder(set.Folder) })
	if err != nil {
		return err
	}
	var salt [8]byte
	if _, err := rand.Read(salt[:]); err != nil {
		folder.Close()
		return err
	}
	start := e.now()
	var rec *disk.Recovery
	store, err := retryStart(e, "spool", func() (store *disk.Store, err error) {
		store, rec, err = disk.Open(folder, disk.Options{SegmentBytes: segmentSize, Salt: binary.LittleEndian.Uint64(salt[:])})
		return store, err
	})
	if err != nil {
		folder.Close()
		return err
	}
	e.results = &resultStore{folder: folder}
	for _, f := range rec.Results {
		e.results.recovered = append(e.results.recovered, spool.Event{Kind: spool.ResultRecovered, ID: f.ID, Secret: f.Meta.Secret, Tenant: f.Meta.Tenant,
			Class: int(f.Meta.Class), Created: rules.Time(f.Meta.Created), LeaseEnd: rules.Time(f.Meta.LeaseEnd), Locations: f.Locations})
	}
	e.log.Info("spool opened", zap.String("folder", set.Folder), zap.Int("results", len(rec.Results)), zap.Int("damaged", len(rec.Lost)),
		zap.Int("unfinished", rec.Unfinished), zap.Int64("torn_bytes", rec.TornBytes), zap.Int64("took_ms", int64((e.now()-start)/rules.Millisecond)))
	for _, d := range rec.Damage {
		e.log.Warn("spool: damaged", zap.Uint32("segment", d.Segment), zap.Int64("at", d.Offset), zap.Int64("bytes", d.Size),
			zap.String("result", fmt.Sprintf("%x", d.ID[:])))
	}
	e.results.runner = disk.NewWorker(store, maxQueuedDiskEffects, set.Budget.DiskBytes/wasteDivisor,
		func(events []spool.Event) {
			e.queue.enqueue(gateway.SpoolCompleted{Events: events})
		},
		func(err error) { e.log.Warn("spool: the disk fails", zap.Error(err)) })
	return nil
}

// closeResultStore writes what is still to be written and lets the folder go.
func (e *Server) closeResultStore() {
	if e.results == nil {
		return
	}
	if !returnsWithin(diskCloseTimeout, func() {
		if err := e.results.runner.Close(); err != nil {
			e.log.Warn("spool: not closed in order", zap.Error(err))
		}
		e.results.folder.Close()
	}) {
		e.log.Warn("spool: the disk hangs, left as it is")
	}
}

// submitToResultStore hands an effect to the disk. What it can't take is answered as failed, for the reducer to see.
func (e *Server) submitToResultStore(s spool.Effect) {
	if e.results != nil && e.results.runner.Submit(s) == nil {
		return
	}
	ev := spool.Event{ID: s.ID, Index: s.Index, Failed: true}
	switch s.Kind {
	case spool.WriteRecord:
		ev.Kind, ev.Record = spool.RecordWritten, s.Record
	case spool.LoadChunk:
		ev.Kind, ev.Reader = spool.ChunkLoaded, s.Reader
	default:
		return
	}
	e.queue.enqueue(gateway.SpoolCompleted{Events: []spool.Event{ev}})
}

// reportDrained tells the reducer once that a connection has taken all that was written to it.
func (e *Server) reportDrained(c *conn) {
	if c.notifyDrained.Swap(false) {
		e.queue.enqueue(gateway.WriteDrained{Conn: c.id})
	}
}
