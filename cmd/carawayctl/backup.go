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

// backupFile is the form of a backup.
type backupFile struct {
	Tables json.RawMessage `json:"tables"`
	// SHA256 is the digest of Tables as compact JSON.
	SHA256 string `json:"sha256"`
}

func backupCommand(c *client) *ffcli.Command {
	fs, file := fileFlag(c, "backup")
	return &ffcli.Command{
		Name:       "backup",
		ShortUsage: "carawayctl backup -f FILE",
		ShortHelp:  "write both tables, as a majority of the control hosts has them, to a file",
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
	c.say("version %d: %d routes and %d pools written to %s", t.Version, len(t.Routes), len(t.Pools), file)
	return nil
}

// writeSynced replaces the file by one whose content is synced.
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
		ShortHelp:  "make both tables as a backup has them, by a new edit on top of the version in force",
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
	if empty(e) {
		c.say("no change; version %d is in force", have.Version)
		return nil
	}
	e.Floor = old.Version
	printEdit(c, have, e)
	v, err := c.edit(ctx, e)
	if err != nil {
		return c.explainConflict(ctx, e, err)
	}
	c.say("version %d accepted: the rows of version %d again", v, old.Version)
	return nil
}

func readBackup(file string) (contract.Tables, error) {
	var t contract.Tables
	raw, err := os.ReadFile(file)
	if err != nil {
		return t, fmt.Errorf("%w: -f: %v", errUsage, err)
	}
	var b backupFile
	if err := json.Unmarshal(raw, &b); err != nil {
		return t, fmt.Errorf("%s is no backup: %v: take another one", file, err)
	}
	sum := sha256.Sum256(b.Tables)
	if hex.EncodeToString(sum[:]) != b.SHA256 {
		return t, fmt.Errorf("%s is damaged: its checksum differs: take another backup", file)
	}
	return t, json.Unmarshal(b.Tables, &t)
}
