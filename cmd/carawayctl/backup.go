package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/carawaylanding/carawaylanding/contract"
)

// backupFile is the JSON content of a backup file.
type backupFile struct {
	Tables json.RawMessage `json:"tables"`
	// SHA256 is the digest of Tables as compact JSON, in hexadecimal.
	SHA256 string `json:"sha256"`
}

func backupCommand(c *client) *ffcli.Command {
	fs, file := fileFlag(c, "backup")
	return &ffcli.Command{
		Name:       "backup",
		ShortUsage: "carawayctl backup -f FILE",
		ShortHelp:  "write both tables, as stored by a majority of the control hosts, to a file",
		FlagSet:    fs,
		Exec:       func(ctx context.Context, _ []string) error { return c.backup(ctx, *file) },
	}
}

func (c *client) backup(ctx context.Context, file string) error {
	if file == "" {
		return fmt.Errorf("%w: -f is empty: name the file to write", errUsage)
	}
	var t contract.Tables
	if err := c.get(ctx, "/admin/backup", &t); err != nil {
		return err
	}
	raw, err := json.Marshal(t)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(raw)
	out, err := json.Marshal(backupFile{Tables: raw, SHA256: hex.EncodeToString(sum[:])})
	if err != nil {
		return err
	}
	if err := writeSynced(file, append(out, '\n')); err != nil {
		return err
	}
	c.printMessage("version %d: %d routes and %d pools written to %s", t.Version, len(t.Routes), len(t.Pools), file)
	return nil
}

// writeSynced writes the file atomically: it syncs a temporary file in the same
// folder and renames it.
func writeSynced(file string, raw []byte) error {
	tmp, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name())
	_, err = tmp.Write(raw)
	if err == nil {
		err = tmp.Sync()
	}
	if closeErr := tmp.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	return os.Rename(tmp.Name(), file)
}

func restoreCommand(c *client) *ffcli.Command {
	fs, file := fileFlag(c, "restore")
	return &ffcli.Command{
		Name:       "restore",
		ShortUsage: "carawayctl restore -f FILE",
		ShortHelp:  "change both tables to those of a backup, by a new edit of the version in force",
		FlagSet:    fs,
		Exec:       func(ctx context.Context, _ []string) error { return c.restore(ctx, *file) },
	}
}

func (c *client) restore(ctx context.Context, file string) error {
	old, err := readBackup(file)
	if err != nil {
		return err
	}
	var have contract.Tables
	if err := c.get(ctx, "/admin/backup", &have); err != nil {
		return err
	}
	e := diffTables(have, tablesFile{Routes: &old.Routes, Pools: &old.Pools})
	if isEmpty(e) {
		c.printMessage("no change; version %d is in force", have.Version)
		return nil
	}
	e.Floor = old.Version
	printEdit(c, have, e)
	v, err := c.edit(ctx, e)
	if err != nil {
		return c.explainConflict(ctx, e, err)
	}
	c.printMessage("version %d accepted: it has the rows of version %d", v, old.Version)
	return nil
}

// readBackup reads a backup file and verifies its checksum.
func readBackup(file string) (contract.Tables, error) {
	var t contract.Tables
	raw, err := os.ReadFile(file)
	if err != nil {
		return t, fmt.Errorf("%w: -f: %v", errUsage, err)
	}
	var b backupFile
	if err := json.Unmarshal(raw, &b); err != nil {
		return t, fmt.Errorf("%s is not a backup: %v: use another file", file, err)
	}
	sum := sha256.Sum256(b.Tables)
	if hex.EncodeToString(sum[:]) != b.SHA256 {
		return t, fmt.Errorf("%s is damaged, its checksum does not match: use another backup", file)
	}
	return t, json.Unmarshal(b.Tables, &t)
}
