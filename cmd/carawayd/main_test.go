package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestLogIsOneLineOfKeyValuePairs(t *testing.T) {
	var out bytes.Buffer
	log := newLogger(&out, "patan-1")
	log.Info("worker silent", "worker", "w1", "err", errors.New("two\nlines"))
	log.Error(errors.New("disk full"), "state not synced")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	must.Len(t, 2, lines)
	must.StrHasPrefix(t, "time=", lines[0])
	must.StrHasSuffix(t, ` msg="worker silent" host=patan-1 worker=w1 err="two\nlines"`, lines[0])
	must.StrNotContains(t, lines[0], "level=")
	must.StrContains(t, lines[1], `level=ERROR msg="state not synced" host=patan-1 err="disk full"`)
}

func TestCheckFlagValidatesSettings(t *testing.T) {
	must.Eq(t, exitSettings, run([]string{"-check"}))
	must.Eq(t, 0, run([]string{"-check", "-id", "w", "-roles", "agent", "-failure-domain", "patan", "-http-addr", "127.0.0.1:0",
		"-entries", "127.0.0.1:1", "-upstream", "http://127.0.0.1:2", "-pools", "formula"}))
}
