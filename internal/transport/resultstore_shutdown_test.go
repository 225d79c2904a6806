package transport

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"foxlane/internal/mysql"
	"foxlane/internal/spool/disk"
	"foxlane/internal/standin"
)

// This file plays clients that read stored results while the gateway shuts down.

const (
	// exitLimit is the earliest SIGKILL, counted from SIGTERM, where deadlines of clients are 3 s or more.
	exitLimit = 3700 * time.Millisecond
	// readTimeout is how long a client of these tests reads at the most.
	readTimeout = 25 * time.Second
)

// shutdownRead is a client of these tests and what it reads.
type shutdownRead struct {
	standin.StoredRead
	name string
}

// checkWhole checks that the whole result has come.
func (r *shutdownRead) checkWhole(t *testing.T) {
	t.Helper()
	if !r.Whole() {
		t.Errorf("%s: %v", r.name, &r.StoredRead)
	}
}

// checkEndedByShutdown checks that the answer ended with the error of a shutdown, which has the given words.
func (r *shutdownRead) checkEndedByShutdown(t *testing.T, words string) {
	t.Helper()
	if !r.EndedBy(mysql.CodeServerShutdown) || !strings.Contains(r.Err.Error(), words) || r.Rows >= r.Count {
		t.Errorf("%s: %v", r.name, &r.StoredRead)
	}
}

// pace returns a function to call after each row, which spreads the rows evenly over a time.
func pace(count int, over time.Duration) func(rows int) {
	var began time.Time
	return func(rows int) {
		if rows == 1 {
			began = time.Now()
		}
		if rows%64 == 0 {
			time.Sleep(time.Until(began.Add(over * time.Duration(rows) / time.Duration(count))))
		}
	}
}

// readersAtShutdown runs clients of stored results beside a shutdown.
type readersAtShutdown struct {
	*testbed
	reads     []*shutdownRead
	firstRows sync.WaitGroup // clients that have not got their first row
	ended     sync.WaitGroup
}

const resultStoreSite = `spool {
  folder = %q
  disk   = "1GB"
  memory = "8MB"
  result = "64MB"
}
`

// query returns a query for a result of count rows. With store its client asks for a handle.
func (s *readersAtShutdown) query(count int, store bool) string {
	fields := ""
	if store {
		fields = ",spool=1"
	}
	return fmt.Sprintf("/* kind=load,req=%016x,timeout=20000%s */ SELECT a, b, c FROM sales_1.t_%d", 0xabc000+len(s.reads), fields, count)
}

// start starts a client that reads the answer to a statement in its own goroutine, and waits for its first row.
func (s *readersAtShutdown) start(name string, count int, statement string, afterRow func(rows int)) *shutdownRead {
	s.t.Helper()
	return s.startFrom(0, name, count, statement, afterRow)
}

// startFrom is like start, for an answer that begins with a later row.
func (s *readersAtShutdown) startFrom(firstRow int, name string, count int, statement string, afterRow func(rows int)) *shutdownRead {
	s.t.Helper()
	client, err := standin.Connect(s.addr, netip.Addr{}, time.Second)
	if err != nil {
		s.t.Fatal(err)
	}
	read := &shutdownRead{name: name, StoredRead: standin.StoredRead{Count: count, Rows: firstRow}}
	s.reads = append(s.reads, read)
	s.firstRows.Add(1)
	defer s.firstRows.Wait() // so that no query is rejected because the results of others are still being stored
	s.ended.Go(func() {
		defer client.Close()
		first := sync.OnceFunc(s.firstRows.Done)
		defer first()
		read.Read(client, statement, readTimeout, func(rows int) {
			first()
			afterRow(rows)
		})
	})
	return read
}

// Guards against answers that SIGTERM cuts off: whoever reads a stored result, from the disk or from memory, evenly, with a
// pause, or from late in the drain period on, gets all rows if it reads them within the time that the shutdown has.
func TestShutdownWaitsForReadersOfStoredResults(t *testing.T) {
	s := &readersAtShutdown{testbed: newTestbedWithSite(t, System(), fmt.Sprintf(resultStoreSite, t.TempDir()), standin.ServeTable, standin.ServeTable)}
	const large, medium, small, tiny = 160_000, 60_000, 10_000, 2_000 // rows of 100 bytes
	resume := map[int]string{}
	for _, count := range []int{large, medium, small} {
		stored := s.start("a result that is read again", count, s.query(count, true), func(int) {})
		s.ended.Wait()
		resume[count] = fmt.Sprintf("/* resume=%s */ FETCH", stored.Handle)
	}
	s.start("without a handle", large, s.query(large, false), pace(large, 2500*time.Millisecond))
	s.start("from memory", tiny, s.query(tiny, false), pace(tiny, 2500*time.Millisecond))
	s.start("by a handle", large, resume[large], pace(large, 2500*time.Millisecond))
	s.start("with a pause", medium, resume[medium], func(rows int) {
		if rows == medium/10 {
			time.Sleep(1200 * time.Millisecond)
		}
	})
	for range 40 {
		s.start("one of many", small, resume[small], pace(small, 2*time.Second))
	}
	exited := make(chan time.Duration)
	go func() { exited <- s.terminate() }()
	time.Sleep(700 * time.Millisecond)
	s.start("late", small, resume[small], pace(small, 1500*time.Millisecond))
	if took := <-exited; took < 2*time.Second || took > exitLimit {
		t.Errorf("the gateway took %v to exit", took)
	}
	s.ended.Wait()
	for _, read := range s.reads {
		read.checkWhole(t)
	}
	s.closeFakeServers()
}

// Guards against answers that break off without an error: whoever can't read its stored result within the time that the
// shutdown has gets an error, also if it reads only once the process has exited. It keeps back neither the exit nor a client
// beside it, and reads the rest by its handle after the restart.
func TestShutdownEndsSlowReadsWithAnError(t *testing.T) {
	s := &readersAtShutdown{testbed: newTestbedWithSite(t, System(), fmt.Sprintf(resultStoreSite, t.TempDir()), standin.ServeTable, standin.ServeTable)}
	const large, medium = 200_000, 60_000 // rows of 100 bytes
	exited := make(chan struct{})
	untilExit := func(rows int) {
		if rows == 1 {
			<-exited
		}
	}
	slow := s.start("slowly", large, s.query(large, true), pace(large, 20*time.Second))
	slowWithoutHandle := s.start("slowly, without a handle", large, s.query(large, false), pace(large, 20*time.Second))
	stopped := s.start("not until the exit", large, s.query(large, true), untilExit)
	beside := s.start("evenly", medium, s.query(medium, false), pace(medium, 2*time.Second))
	took := s.terminate()
	close(exited)
	if took > exitLimit {
		t.Errorf("the gateway took %v to exit", took)
	}
	s.ended.Wait()
	beside.checkWhole(t)
	slowWithoutHandle.checkEndedByShutdown(t, "the gateway shuts down")
	const kept = "the result is kept, read it again by its handle"
	slow.checkEndedByShutdown(t, kept)
	stopped.checkEndedByShutdown(t, kept)
	s.testbed.start()
	for _, read := range []*shutdownRead{slow, stopped} {
		statement := fmt.Sprintf("/* resume=%s,page=%d */ FETCH", read.Handle, read.Chunks)
		s.startFrom(read.ChunkRows, read.name+", after the restart", large, statement, func(int) {})
	}
	s.ended.Wait()
	for _, read := range s.reads[len(s.reads)-2:] {
		read.checkWhole(t)
	}
	s.shutdown()
}

// hangingFolder is a folder whose disk stands still once hang is set, until released is closed.
type hangingFolder struct {
	Folder
	hang     *atomic.Bool
	released chan struct{}
}

type hangingFile struct {
	disk.File
	folder *hangingFolder
}

func (f *hangingFolder) Open(name string, create bool) (disk.File, error) {
	file, err := f.Folder.Open(name, create)
	return &hangingFile{file, f}, err
}

func (f *hangingFolder) wait() {
	if f.hang.Load() {
		<-f.released
	}
}

func (f *hangingFile) ReadAt(p []byte, offset int64) (int, error) {
	f.folder.wait()
	return f.File.ReadAt(p, offset)
}

func (f *hangingFile) WriteAt(p []byte, offset int64) (int, error) {
	f.folder.wait()
	return f.File.WriteAt(p, offset)
}

// Guards against a SIGKILL that comes before the exit: while the disk hangs, a read ends with an error at the deadline of the
// shutdown, and the process exits without the disk before the earliest SIGKILL.
func TestExitIsInTimeWhileDiskHangs(t *testing.T) {
	var hang atomic.Bool
	released := make(chan struct{})
	platform := System()
	platform.OpenFolder = func(path string) (Folder, error) {
		folder, err := System().OpenFolder(path)
		return &hangingFolder{Folder: folder, hang: &hang, released: released}, err
	}
	s := &readersAtShutdown{testbed: newTestbedWithSite(t, platform, fmt.Sprintf(resultStoreSite, t.TempDir()), standin.ServeTable, standin.ServeTable)}
	const medium = 60_000
	read := s.start("while the disk hangs", medium, s.query(medium, true), func(rows int) {
		if rows == medium/10 {
			hang.Store(true)
		}
	})
	took := s.terminate()
	close(released)
	if took < 3*time.Second || took > exitLimit {
		t.Errorf("the gateway took %v to exit", took)
	}
	s.ended.Wait()
	read.checkEndedByShutdown(t, "the gateway shuts down")
	s.closeFakeServers()
}
