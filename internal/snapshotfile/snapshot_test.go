package snapshotfile

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

// forgetful is a disk in memory that loses, when the power goes, all that was not synced. It goes at a step.
type forgetful struct {
	files, synced map[string][]byte // by name; what a crash leaves
	names         map[string]string // renames that the folder has not synced: to, from
	steps, at     int               // the power goes at this step; 0: never
}

var errPower = errors.New("the power is gone")

func (d *forgetful) step() error {
	if d.steps++; d.at != 0 && d.steps >= d.at {
		return errPower
	}
	return nil
}

type sheet struct {
	d    *forgetful
	path string
}

func (d *forgetful) Create(path string) (File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	d.files[path] = nil
	return &sheet{d, path}, nil
}

func (s *sheet) Write(b []byte) (int, error) {
	if err := s.d.step(); err != nil {
		s.d.files[s.path] = append(s.d.files[s.path], b[:len(b)/2]...)
		return len(b) / 2, err
	}
	s.d.files[s.path] = append(s.d.files[s.path], b...)
	return len(b), nil
}

func (s *sheet) Sync() error {
	if err := s.d.step(); err != nil {
		return err
	}
	s.d.synced[s.path] = bytes.Clone(s.d.files[s.path])
	return nil
}

func (s *sheet) Close() error { return s.d.step() }

func (d *forgetful) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.files[to], d.names[to] = d.files[from], from
	return nil
}

func (d *forgetful) SyncFolder(string) error {
	if err := d.step(); err != nil {
		return err
	}
	for to, from := range d.names {
		d.synced[to] = d.synced[from]
	}
	clear(d.names)
	return nil
}

func (d *forgetful) Open(path string) (io.ReadCloser, error) {
	b, ok := d.synced[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(b)), nil
}

func TestAfterACrashAtAnyStepTheOldOrTheNewIsThereWhole(t *testing.T) {
	for at := 1; at < 16; at++ {
		d := &forgetful{files: map[string][]byte{}, synced: map[string][]byte{}, names: map[string]string{}}
		if err := Write(d, "x/view", []byte("old")); err != nil {
			t.Fatal(err)
		}
		d.at = d.steps + at
		wrote := Write(d, "x/view", []byte("new and longer"))
		got, err := Read(d, "x/view")
		if err != nil || string(got) != "old" && string(got) != "new and longer" {
			t.Errorf("the power goes at step %d: %q %v", at, got, err)
		}
		if wrote == nil && string(got) != "new and longer" {
			t.Errorf("at step %d: kept, it was said, and %q is there", at, got)
		}
	}
}

func TestWhatIsBrokenNewerOrMissingIsTold(t *testing.T) {
	path := filepath.Join(t.TempDir(), "view")
	if _, err := Read(Disk{}, path); !None(err) {
		t.Error(err)
	}
	if err := Write(Disk{}, path, []byte("what was learned")); err != nil {
		t.Fatal(err)
	}
	whole, _ := os.ReadFile(path)
	for cut := range whole {
		os.WriteFile(path, whole[:cut], 0o600)
		if _, err := Read(Disk{}, path); !errors.Is(err, ErrBroken) {
			t.Fatalf("cut at %d: %v", cut, err)
		}
	}
	for at := range whole {
		bad := bytes.Clone(whole)
		bad[at] ^= 0x40
		os.WriteFile(path, bad, 0o600)
		if got, err := Read(Disk{}, path); err == nil {
			t.Fatalf("byte %d flipped: %q", at, got)
		} else if at == len(magic) && !errors.Is(err, ErrNewer) {
			t.Fatal(fmt.Sprint("a newer version: ", err))
		}
	}
}
