package disk

import (
	"fmt"
	"io/fs"
	"testing"

	"foxlane/internal/spool"
)

// failingFS is a folder in which writes to new files and removals fail while fails is set. Files can still be created.
type failingFS struct {
	*memoryFS
	fails bool
}

func (f *failingFS) Open(name string, create bool) (File, error) {
	if create && f.files[name] != nil {
		return nil, fmt.Errorf("open %s: %w", name, fs.ErrExist)
	}
	if f.fails {
		f.failWrite = 1
	}
	return f.memoryFS.Open(name, create)
}

func (f *failingFS) Remove(name string) error {
	if f.fails {
		return errFault
	}
	return f.memoryFS.Remove(name)
}

// A segment whose creation failed leaves a file under the name that the next attempt needs. Once the folder works
// again, that file is removed, and results are stored without a restart.
func TestUnfinishedSegmentIsRemoved(t *testing.T) {
	folder := &failingFS{memoryFS: newMemoryFS(), fails: true}
	s, _, err := Open(folder, options)
	if err != nil {
		t.Fatal(err)
	}
	storeResult := func(number int) bool {
		ok := false
		for _, completion := range s.Commit(resultWrites(number, 2)) {
			if e, synced := completion.Event.(spool.ResultSynced); synced {
				ok = !e.Failed
			}
		}
		return ok
	}
	for number := range 3 {
		if storeResult(number) {
			t.Fatal("a result was reported as synced while all writes failed")
		}
	}
	folder.fails, folder.failWrite = false, 0
	if !storeResult(4) {
		t.Error("a result was not stored after the folder worked again")
	}
	if _, recovery, err := Open(folder, options); err != nil || len(recovery.Results) != 1 || len(recovery.Lost)+len(recovery.Damage) != 0 {
		t.Errorf("after a restart: %+v, %v", recovery, err)
	}
}
