package snapshotfile

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

// volatileDisk is an in-memory disk that loses all unsynced data on a power loss.
type volatileDisk struct {
	files, synced   map[string][]byte // content by path; synced is the content after a power loss
	unsyncedRenames map[string]string // new name to old name
	steps           int               // number of calls so far
	failAtStep      int               // this call and all later ones fail with a power loss; 0: never
}

var errPowerLoss = errors.New("power loss")

func newVolatileDisk() *volatileDisk {
	return &volatileDisk{files: map[string][]byte{}, synced: map[string][]byte{}, unsyncedRenames: map[string]string{}}
}

func (disk *volatileDisk) step() error {
	if disk.steps++; disk.failAtStep != 0 && disk.steps >= disk.failAtStep {
		return errPowerLoss
	}
	return nil
}

type volatileFile struct {
	disk *volatileDisk
	path string
}

func (disk *volatileDisk) Create(path string) (File, error) {
	if err := disk.step(); err != nil {
		return nil, err
	}
	disk.files[path] = nil
	return &volatileFile{disk, path}, nil
}

func (file *volatileFile) Write(content []byte) (int, error) {
	written, err := len(content), file.disk.step()
	if err != nil {
		written /= 2
	}
	file.disk.files[file.path] = append(file.disk.files[file.path], content[:written]...)
	return written, err
}

func (file *volatileFile) Sync() error {
	if err := file.disk.step(); err != nil {
		return err
	}
	file.disk.synced[file.path] = bytes.Clone(file.disk.files[file.path])
	return nil
}

func (file *volatileFile) Close() error { return file.disk.step() }

func (disk *volatileDisk) Rename(from, to string) error {
	if err := disk.step(); err != nil {
		return err
	}
	disk.files[to], disk.unsyncedRenames[to] = disk.files[from], from
	return nil
}

func (disk *volatileDisk) SyncFolder(string) error {
	if err := disk.step(); err != nil {
		return err
	}
	for to, from := range disk.unsyncedRenames {
		disk.synced[to] = disk.synced[from]
	}
	clear(disk.unsyncedRenames)
	return nil
}

func (disk *volatileDisk) Open(path string) (io.ReadCloser, error) {
	content, found := disk.synced[path]
	if !found {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(content)), nil
}

func TestPowerLossAtAnyStepLeavesTheOldOrTheNewBody(t *testing.T) {
	const path, oldBody, newBody = "folder/snapshot", "old", "new and longer"
	for failAfter := 1; failAfter < 16; failAfter++ {
		disk := newVolatileDisk()
		if err := Write(disk, path, []byte(oldBody)); err != nil {
			t.Fatal(err)
		}
		disk.failAtStep = disk.steps + failAfter
		writeErr := Write(disk, path, []byte(newBody))
		got, err := Read(disk, path)
		if err != nil || string(got) != oldBody && string(got) != newBody {
			t.Errorf("power loss at step %d: %q %v", failAfter, got, err)
		}
		if writeErr == nil && string(got) != newBody {
			t.Errorf("power loss at step %d: Write succeeded, but the file holds %q", failAfter, got)
		}
	}
}

func TestBrokenNewerAndMissingFilesAreReported(t *testing.T) {
	path := filepath.Join(t.TempDir(), "snapshot")
	if _, err := Read(Disk{}, path); !IsNotExist(err) {
		t.Error(err)
	}
	if err := Write(Disk{}, path, []byte("what was learned")); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	readContent := func(content []byte) ([]byte, error) {
		t.Helper()
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		return Read(Disk{}, path)
	}
	for size := range content {
		if _, err := readContent(content[:size]); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("cut at %d: %v", size, err)
		}
	}
	for at := range content {
		flipped := bytes.Clone(content)
		flipped[at] ^= 0x40
		if got, err := readContent(flipped); err == nil {
			t.Fatalf("byte %d flipped: %q", at, got)
		} else if at == len(magic) && !errors.Is(err, ErrNewerVersion) {
			t.Fatalf("a newer version: %v", err)
		}
	}
}
