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

// logStore keeps the consensus log of a hub in one file, as a sequence of
// records. The first record holds the disk's identity, the hard state and the
// snapshot that the log starts from. Compaction replaces the file by a new one.
// A power loss can tear only the last records of a file, and those were never
// synced.
type logStore struct {
	dir  string
	file *os.File
	// generation is the number in the file's name. Each rewrite increments it.
	generation uint64
	// size is the length of the file in bytes. It is atomic since the event loop
	// reads it while the disk writer's goroutine writes.
	size atomic.Int64
	// snapshotSize is the length of the first record, with the snapshot.
	snapshotSize atomic.Int64
	disk         contract.DiskID
}

// logRecord is one write to the log file.
type logRecord struct {
	// Disk and Snapshot are set in the first record of a file only.
	Disk     contract.DiskID
	Snapshot *consensus.Snapshot
	Hard     *consensus.HardState
	Entries  []contract.LogEntry
}

const (
	logPrefix = "log-"
	tmpName   = "next.tmp"
	// recordHeaderBytes is the size of a record's header: its length and its
	// checksum, four bytes each, in big-endian order.
	recordHeaderBytes = 8
	dirMode           = 0o700
	fileMode          = 0o600
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// openStore opens the newest readable log file in dir and returns its contents.
// If there is none, it creates a log with newDisk as the disk's identity and
// returns fresh as true.
func openStore(dir string, newDisk contract.DiskID) (s *logStore, stored consensus.StoredState, fresh bool, err error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, stored, false, fmt.Errorf("create data directory: %w", err)
	}
	s = &logStore{dir: dir}
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
		s.generation = gens[len(gens)-1]
	}
	return s, stored, true, s.rewrite(consensus.StoredState{})
}

func (s *logStore) generationPath(gen uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s%016x", logPrefix, gen))
}

// generations returns the generations of the log files in the data directory, in
// ascending order.
func (s *logStore) generations() ([]uint64, error) {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, fmt.Errorf("read data directory: %w", err)
	}
	var gens []uint64
	for _, e := range entries {
		var gen uint64
		if strings.HasPrefix(e.Name(), logPrefix) {
			if _, err := fmt.Sscanf(e.Name()[len(logPrefix):], "%016x", &gen); err == nil {
				gens = append(gens, gen)
			}
		}
	}
	slices.Sort(gens)
	return gens, nil
}

// load opens the log file of a generation and replays its records into stored.
// It truncates a torn end. It returns false if the first record is torn.
func (s *logStore) load(gen uint64, stored *consensus.StoredState) (bool, error) {
	f, err := os.OpenFile(s.generationPath(gen), os.O_RDWR, fileMode)
	if err != nil {
		return false, fmt.Errorf("open log file: %w", err)
	}
	data, err := readWhole(f)
	if err != nil {
		f.Close()
		return false, fmt.Errorf("read log file: %w", err)
	}
	validLen := int64(0)
	for {
		rec, size := readRecord(data[validLen:])
		if rec == nil {
			break
		}
		if validLen == 0 {
			s.disk = rec.Disk
			s.snapshotSize.Store(int64(size))
		}
		replayRecord(stored, rec)
		validLen += int64(size)
	}
	if validLen == 0 {
		return false, f.Close()
	}
	// Bytes after the last valid record were never synced. If they stayed, they
	// could later be read as records that follow those written next.
	if validLen < int64(len(data)) {
		if err := errors.Join(f.Truncate(validLen), f.Sync()); err != nil {
			f.Close()
			return false, fmt.Errorf("truncate torn end of log file: %w", err)
		}
	}
	s.file, s.generation = f, gen
	s.size.Store(validLen)
	return true, nil
}

// readWhole reads a file into a buffer of its size.
func readWhole(f *os.File) ([]byte, error) {
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	data := make([]byte, info.Size())
	_, err = io.ReadFull(f, data)
	return data, err
}

// growth returns by how many bytes the log has outgrown its snapshot.
func (s *logStore) growth() int64 { return s.size.Load() - s.snapshotSize.Load() }

// readRecord decodes the record at the start of data and returns it with its size
// in bytes, header included. It returns nil if the record is torn or corrupt.
func readRecord(data []byte) (*logRecord, int) {
	if len(data) < recordHeaderBytes {
		return nil, 0
	}
	size := int(binary.BigEndian.Uint32(data))
	if size == 0 || len(data)-recordHeaderBytes < size {
		return nil, 0
	}
	body := data[recordHeaderBytes : recordHeaderBytes+size]
	if crc32.Checksum(body, crcTable) != binary.BigEndian.Uint32(data[4:]) {
		return nil, 0
	}
	rec := new(logRecord)
	if msgpack.Unmarshal(body, rec) != nil {
		return nil, 0
	}
	return rec, recordHeaderBytes + size
}

// replayRecord applies a record to the stored log. An entry replaces the entry at
// its index and all entries after it.
func replayRecord(s *consensus.StoredState, rec *logRecord) {
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
		pos := e.Index - s.Snapshot.Index - 1
		if pos > uint64(len(s.Entries)) {
			return
		}
		s.Entries = append(s.Entries[:pos], e)
	}
}

// appendRecord appends the encoded record to buf, with its header.
func appendRecord(buf *bytes.Buffer, rec *logRecord) error {
	start := buf.Len()
	buf.Write(make([]byte, recordHeaderBytes))
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(rec); err != nil {
		return fmt.Errorf("encode log record: %w", err)
	}
	out := buf.Bytes()[start:]
	binary.BigEndian.PutUint32(out, uint32(len(out)-recordHeaderBytes))
	binary.BigEndian.PutUint32(out[4:], crc32.Checksum(out[recordHeaderBytes:], crcTable))
	return nil
}

// write appends the record to the log file and syncs it. After an error the
// record does not count as written: what was written of it is truncated, or
// overwritten when the caller retries at the same offset.
func (s *logStore) write(rec *logRecord) error {
	var buf bytes.Buffer
	if err := appendRecord(&buf, rec); err != nil {
		return err
	}
	end := s.size.Load()
	if _, err := s.file.WriteAt(buf.Bytes(), end); err != nil {
		return errors.Join(fmt.Errorf("write log file: %w", err), s.file.Truncate(end))
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("sync log file: %w", err)
	}
	s.size.Store(end + int64(buf.Len()))
	return nil
}

// rewrite replaces the log file by a file of the next generation that holds only
// st.
func (s *logStore) rewrite(st consensus.StoredState) error {
	var buf bytes.Buffer
	buf.Grow(recordBytes(&st))
	rec := &logRecord{Disk: s.disk, Snapshot: &st.Snapshot, Hard: &st.Hard, Entries: st.Entries}
	if err := appendRecord(&buf, rec); err != nil {
		return err
	}
	tmp := filepath.Join(s.dir, tmpName)
	f, err := os.OpenFile(tmp, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return fmt.Errorf("create new log file: %w", err)
	}
	if _, err := f.Write(buf.Bytes()); err != nil {
		f.Close()
		return fmt.Errorf("write new log file: %w", err)
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return fmt.Errorf("sync new log file: %w", err)
	}
	if err := os.Rename(tmp, s.generationPath(s.generation+1)); err != nil {
		f.Close()
		return fmt.Errorf("rename new log file: %w", err)
	}
	if err := syncDir(s.dir); err != nil {
		f.Close()
		return err
	}
	old := s.file
	s.file, s.generation = f, s.generation+1
	s.size.Store(int64(buf.Len()))
	s.snapshotSize.Store(int64(buf.Len()))
	if old == nil {
		return nil
	}
	// The new file is in use even if this fails: openStore ignores an old file
	// that is left behind, since it prefers the newest one.
	return errors.Join(old.Close(), os.Remove(s.generationPath(s.generation-1)))
}

// recordBytes returns about the size of the record of a stored state.
func recordBytes(st *consensus.StoredState) int {
	const entryBytes, recordBytes = 32, 1 << 10
	n := recordBytes + len(st.Snapshot.Data)
	for i := range st.Entries {
		n += entryBytes + len(st.Entries[i].Data)
	}
	return n
}

// syncDir syncs the directory, so that a rename in it survives a power loss.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("open data directory: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("sync data directory: %w", err)
	}
	return nil
}

func (s *logStore) close() error { return s.file.Close() }
