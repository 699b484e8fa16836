package hub

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawaylanding/carawaylanding/consensus"
	"github.com/carawaylanding/carawaylanding/contract"
)

// store keeps a member's log in one file: a header with the snapshot that the
// file starts from, then records. A new file replaces the old one when the log
// is compacted. Only the last records of a file can be torn, by a loss of
// power, and none of those was synced.
type store struct {
	dir  string
	file *os.File
	gen  uint64
	// size is read by the loop while the disk's goroutine writes.
	size atomic.Int64
	disk contract.DiskID
}

// record is one write to the log file.
type record struct {
	// Disk, Snapshot and Hard come first in a file.
	Disk     contract.DiskID
	Snapshot *consensus.Snapshot
	Hard     *consensus.HardState
	Entries  []contract.LogEntry
}

const (
	logPrefix = "log-"
	tmpName   = "next.tmp"
	// recordHeader is the length and the checksum of a record, four bytes each.
	recordHeader = 8
	dirMode      = 0o700
	fileMode     = 0o600
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// openStore reads the newest file of the folder. fresh reports that the folder
// held none: the disk then gets a new identity.
func openStore(dir string, newDisk contract.DiskID) (s *store, stored consensus.Stored, fresh bool, err error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, stored, false, fmt.Errorf("make the data folder: %w", err)
	}
	s = &store{dir: dir}
	gens, err := s.generations()
	if err != nil {
		return nil, stored, false, err
	}
	for _, gen := range slices.Backward(gens) {
		if ok, err := s.load(gen, &stored); err != nil {
			return nil, stored, false, err
		} else if ok {
			return s, stored, false, nil
		}
	}
	s.disk = newDisk
	if len(gens) > 0 {
		s.gen = gens[len(gens)-1]
	}
	return s, stored, true, s.rewrite(consensus.Stored{})
}

func (s *store) path(gen uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s%016x", logPrefix, gen))
}

func (s *store) generations() ([]uint64, error) {
	names, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, fmt.Errorf("read the data folder: %w", err)
	}
	var gens []uint64
	for _, n := range names {
		var gen uint64
		if strings.HasPrefix(n.Name(), logPrefix) {
			if _, err := fmt.Sscanf(n.Name()[len(logPrefix):], "%016x", &gen); err == nil {
				gens = append(gens, gen)
			}
		}
	}
	slices.Sort(gens)
	return gens, nil
}

// load reads one file; false when its header is torn.
func (s *store) load(gen uint64, stored *consensus.Stored) (bool, error) {
	f, err := os.OpenFile(s.path(gen), os.O_RDWR, fileMode)
	if err != nil {
		return false, fmt.Errorf("open the log: %w", err)
	}
	data, err := io.ReadAll(f)
	if err != nil {
		f.Close()
		return false, fmt.Errorf("read the log: %w", err)
	}
	good := int64(0)
	for {
		rec, size := readRecord(data[good:])
		if rec == nil {
			break
		}
		if good == 0 {
			s.disk = rec.Disk
		}
		applyRecord(stored, rec)
		good += int64(size)
	}
	if good == 0 {
		return false, f.Close()
	}
	// What follows the last whole record was never synced; it must not be
	// read again behind what is written next.
	if good < int64(len(data)) {
		if err := errors.Join(f.Truncate(good), f.Sync()); err != nil {
			f.Close()
			return false, fmt.Errorf("cut the torn end of the log: %w", err)
		}
	}
	s.file, s.gen = f, gen
	s.size.Store(good)
	return true, nil
}

func readRecord(data []byte) (*record, int) {
	if len(data) < recordHeader {
		return nil, 0
	}
	size := int(binary.BigEndian.Uint32(data))
	if size == 0 || len(data)-recordHeader < size {
		return nil, 0
	}
	body := data[recordHeader : recordHeader+size]
	if crc32.Checksum(body, crcTable) != binary.BigEndian.Uint32(data[4:]) {
		return nil, 0
	}
	rec := new(record)
	if msgpack.Unmarshal(body, rec) != nil {
		return nil, 0
	}
	return rec, recordHeader + size
}

func applyRecord(s *consensus.Stored, rec *record) {
	if rec.Snapshot != nil {
		s.Snapshot = *rec.Snapshot
		s.Entries = nil
	}
	if rec.Hard != nil {
		s.Hard = *rec.Hard
	}
	for _, e := range rec.Entries {
		if e.Index <= s.Snapshot.Index {
			continue
		}
		at := e.Index - s.Snapshot.Index - 1
		if at > uint64(len(s.Entries)) {
			return
		}
		s.Entries = append(s.Entries[:at], e)
	}
}

func appendRecord(buf *bytes.Buffer, rec *record) error {
	start := buf.Len()
	buf.Write(make([]byte, recordHeader))
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(rec); err != nil {
		return fmt.Errorf("encode a log record: %w", err)
	}
	out := buf.Bytes()[start:]
	binary.BigEndian.PutUint32(out, uint32(len(out)-recordHeader))
	binary.BigEndian.PutUint32(out[4:], crc32.Checksum(out[recordHeader:], crcTable))
	return nil
}

// write appends the record and syncs it. After an error the end of the file is
// put back, so that the write can be tried again.
func (s *store) write(rec *record) error {
	var buf bytes.Buffer
	if err := appendRecord(&buf, rec); err != nil {
		return err
	}
	end := s.size.Load()
	if _, err := s.file.WriteAt(buf.Bytes(), end); err != nil {
		return errors.Join(fmt.Errorf("write the log: %w", err), s.file.Truncate(end))
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("sync the log: %w", err)
	}
	s.size.Store(end + int64(buf.Len()))
	return nil
}

// rewrite replaces the file by one that holds just what is given.
func (s *store) rewrite(st consensus.Stored) error {
	var buf bytes.Buffer
	rec := &record{Disk: s.disk, Snapshot: &st.Snapshot, Hard: &st.Hard, Entries: st.Entries}
	if err := appendRecord(&buf, rec); err != nil {
		return err
	}
	tmp := filepath.Join(s.dir, tmpName)
	f, err := os.OpenFile(tmp, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return fmt.Errorf("make a log file: %w", err)
	}
	if _, err := f.Write(buf.Bytes()); err != nil {
		f.Close()
		return fmt.Errorf("write a log file: %w", err)
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return fmt.Errorf("sync a log file: %w", err)
	}
	if err := os.Rename(tmp, s.path(s.gen+1)); err != nil {
		f.Close()
		return fmt.Errorf("name a log file: %w", err)
	}
	if err := syncDir(s.dir); err != nil {
		f.Close()
		return err
	}
	old := s.file
	s.file, s.gen = f, s.gen+1
	s.size.Store(int64(buf.Len()))
	if old == nil {
		return nil
	}
	// An old file that stays after an error is skipped: the newest counts.
	return errors.Join(old.Close(), os.Remove(s.path(s.gen-1)))
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("open the data folder: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("sync the data folder: %w", err)
	}
	return nil
}

func (s *store) close() error { return s.file.Close() }
