package disk

import (
	"fmt"
	"io/fs"
	"testing"

	"foxlane/internal/spool"
)

// failingFS is a folder in which, for a while, nothing can be written or removed; files are still created.
type failingFS struct {
	*memoryFS
	fails bool
}

func (s *failingFS) Open(name string, create bool) (File, error) {
	if create && s.files[name] != nil {
		return nil, fmt.Errorf("open %s: %w", name, fs.ErrExist)
	}
	if s.fails {
		s.failWrite = 1
	}
	return s.memoryFS.Open(name, create)
}

func (s *failingFS) Remove(name string) error {
	if s.fails {
		return errFault
	}
	return s.memoryFS.Remove(name)
}

// Once a folder works again in which the creation of a segment failed, results are stored again without a restart.
func TestUnfinishedSegmentIsRemoved(t *testing.T) {
	folder := &failingFS{memoryFS: newMemoryFS(), fails: true}
	s, _, err := Open(folder, options)
	if err != nil {
		t.Fatal(err)
	}
	sealed := func(k int) bool {
		ok := false
		for _, d := range s.Commit(writes(k, 2)) {
			if e, synced := d.Event.(spool.ResultSynced); synced {
				ok = !e.Failed
			}
		}
		return ok
	}
	for k := range 3 {
		if sealed(k) {
			t.Fatal("a result counts as kept on a folder that takes no writes")
		}
	}
	folder.fails, folder.failWrite = false, 0
	if !sealed(4) {
		t.Error("the folder works again, and results are still not kept")
	}
	if _, rec, err := Open(folder, options); err != nil || len(rec.Results) != 1 || len(rec.Lost)+len(rec.Damage) != 0 {
		t.Errorf("after a start: %+v, %v", rec, err)
	}
}
