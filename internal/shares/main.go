// Shares prints how the Go code divides: tests against the whole, and the
// packages that decide and recover against the rest. It counts lines that hold
// code, not blank lines or comments.
package main

import (
	"flag"
	"fmt"
	"go/scanner"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
)

// The bounds that the shares are held against.
const (
	maxTests = 1.0 / 3
	minCore  = 1.0 / 4
)

// core are the packages of routing, limits, retries, membership, state and
// recovery.
var core = []string{
	"agent", "control", "dispatch", "entry", "failuredomain", "host", "job",
	"ledger", "membership", "quorum", "record", "routing", "tables",
}

// group counts the lines of one kind of code.
type group struct {
	core, other, tests int
}

func (g group) all() int { return g.core + g.other + g.tests }

func main() {
	root := flag.String("root", ".", "root of the source tree")
	flag.Parse()
	g, err := count(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, "shares:", err)
		os.Exit(1)
	}
	if !report(g) {
		os.Exit(1)
	}
}

func count(root string) (group, error) {
	var g group
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != root && strings.HasPrefix(d.Name(), ".") {
			return filepath.SkipDir
		}
		if filepath.Ext(path) != ".go" {
			return nil
		}
		lines, err := codeLines(path)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		g.add(rel, lines)
		return nil
	})
	return g, err
}

func (g *group) add(path string, lines int) {
	first, _, _ := strings.Cut(filepath.ToSlash(path), "/")
	switch {
	case strings.HasSuffix(path, "_test.go"):
		g.tests += lines
	case slices.Contains(core, first):
		g.core += lines
	default:
		g.other += lines
	}
}

// codeLines returns how many lines of the file hold a token.
func codeLines(path string) (int, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	set := token.NewFileSet()
	file := set.AddFile(path, -1, len(src))
	var s scanner.Scanner
	s.Init(file, src, nil, 0)
	seen := make(map[int]bool)
	for {
		pos, tok, lit := s.Scan()
		if tok == token.EOF {
			return len(seen), nil
		}
		if tok == token.SEMICOLON && lit == "\n" {
			continue
		}
		first := file.Line(pos)
		for i := range 1 + strings.Count(lit, "\n") {
			seen[first+i] = true
		}
	}
}

// report prints the shares and says whether both bounds hold.
func report(g group) bool {
	tests := float64(g.tests) / float64(g.all())
	decide := float64(g.core) / float64(g.core+g.other)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SHARE\tLINES\tOF\tPART\tBOUND\tHOLDS")
	fmt.Fprintf(w, "tests\t%d\t%d\t%.1f%%\tat most %.1f%%\t%t\n", g.tests, g.all(), 100*tests, 100*maxTests, tests <= maxTests)
	fmt.Fprintf(w, "decisions, state and recovery\t%d\t%d\t%.1f%%\tat least %.1f%%\t%t\n", g.core, g.core+g.other, 100*decide, 100*minCore, decide >= minCore)
	w.Flush()
	return tests <= maxTests && decide >= minCore
}
