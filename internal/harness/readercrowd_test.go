package harness

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"foxlane/internal/mysql"
	"foxlane/internal/standin"
)

// This file plays shutdowns of a gateway of the smallest size with many readers of one stored result.

const crowdReaders = 150

// Guards against a gateway that closes readers, or passes its memory limit, because many read at once: each answer ends with error
// 1053 if its client stops until the process has exited.
func TestManyReadersAtShutdownOfSmallGateway(t *testing.T) {
	for _, c := range []struct {
		name   string
		folder bool
		rows   int
	}{
		{"from the disk", true, 160_000},
		{"short, from the disk", true, 8_000},
		{"from memory", false, 8_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newReaderScene(t, 80)
			s.memoryMB, s.folder, s.giveUp, s.freeze, s.twice = 32, c.folder, 20*time.Second, 0, false
			reads := s.readAsCrowd(c.rows)
			for i, read := range reads {
				if !read.EndedBy(mysql.CodeServerShutdown) {
					t.Errorf("client %d: %v", i, &read.StoredRead)
				}
			}
			if closed := bytes.Count(s.log.Bytes(), []byte("closed with unread")); closed > 0 {
				t.Errorf("%d clients were closed for the lack of memory", closed)
			}
			if peak := residentPeakKB(t, s.log.Bytes()); peak > s.memoryMB<<10 {
				t.Errorf("peak of %d KB resident, limit of %d MB", peak, s.memoryMB)
			}
		})
	}
}

// readAsCrowd plays a shutdown with clients that read one stored result by its handle, and stop within it until the process has
// exited.
func (s *readerScene) readAsCrowd(rows int) (reads []*sceneRead) {
	s.startServers()
	defer s.closeServers()
	s.start()
	stored := standin.StoredRead{Count: rows}
	s.read(&stored, s.query(rows, true), func(int) {})
	if !stored.Whole() {
		s.t.Fatalf("not stored: %v", &stored)
	}
	var reading sync.WaitGroup
	s.termAt = time.Now().Add(2 * time.Second)
	for range crowdReaders {
		read := &sceneRead{plan: readPlan{rows: rows, pauseAt: 1 + s.rng.IntN(rows/8), untilExit: true}}
		read.Count = rows
		reads = append(reads, read)
		reading.Go(func() {
			s.read(&read.StoredRead, fmt.Sprintf("/* resume=%s */ FETCH", stored.Handle), read.plan.follow(s.exited))
		})
	}
	s.terminate()
	reading.Wait()
	return reads
}

// residentPeakKB returns the peak of the process's resident memory from the last line of its log.
func residentPeakKB(t *testing.T, log []byte) (peak int) {
	t.Helper()
	for lines := bufio.NewScanner(bytes.NewReader(log)); lines.Scan(); {
		var line struct {
			PeakKB int `json:"resident_peak_kb"`
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err == nil && line.PeakKB > 0 {
			peak = line.PeakKB
		}
	}
	if peak == 0 {
		t.Fatalf("no peak in the log: %s", log)
	}
	return peak
}
