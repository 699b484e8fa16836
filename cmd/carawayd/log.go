package main

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// newLogger returns a logger that writes one line of key=value pairs per event.
// Only errors have a level key.
func newLogger(out io.Writer, host string) logr.Logger {
	opts := &slog.HandlerOptions{ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.LevelKey && a.Value.Any() != slog.LevelError {
			return slog.Attr{}
		}
		return a
	}}
	handler := slog.NewTextHandler(out, opts).WithAttrs([]slog.Attr{slog.String("host", host)})
	return logr.FromSlogHandler(handler)
}
