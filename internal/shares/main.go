// Shares prints the share of tests in all Go code, and the share of the core packages
// in the code without tests. It counts lines with code, without blank lines and
// comments. It fails if a share is out of bounds.
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

// Bounds of the shares.
const (
	maxTestShare = 1.0 / 3
	minCoreShare = 1.0 / 4
)

// corePackages are the packages that implement routing, limits, retries, membership,
// state and recovery.
var corePackages = []string{
	"agent", "control", "dispatch", "entry", "failuredomain", "host", "job",
	"ledger", "membership", "quorum", "record", "routing", "tables",
}

// lineCounts holds the number of code lines in core packages, other packages and
// tests.
type lineCounts struct {
	core, other, tests int
}

func (g lineCounts) all() int { return g.core + g.other + g.tests }

func main() {
	root := flag.String("root", ".", "root of the source tree")
	flag.Parse()
	g, err := count(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, "shares:", err)
		os.Exit(1)
	}
	if !printShares(g) {
		os.Exit(1)
	}
}

func count(root string) (lineCounts, error) {
	var g lineCounts
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

func (g *lineCounts) add(path string, lines int) {
	first, _, _ := strings.Cut(filepath.ToSlash(path), "/")
	switch {
	case strings.HasSuffix(path, "_test.go"):
		g.tests += lines
	case slices.Contains(corePackages, first):
		g.core += lines
	default:
		g.other += lines
	}
}

// codeLines returns the number of lines of a file that contain a token.
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

// printShares prints the shares and returns whether both are within their bounds.
func printShares(g lineCounts) bool {
	testShare := float64(g.tests) / float64(g.all())
	coreShare := float64(g.core) / float64(g.core+g.other)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SHARE\tLINES\tOF\tPART\tBOUND\tHOLDS")
	fmt.Fprintf(w, "tests\t%d\t%d\t%.1f%%\tat most %.1f%%\t%t\n", g.tests, g.all(), 100*testShare, 100*maxTestShare, testShare <= maxTestShare)
	fmt.Fprintf(w, "decisions, state and recovery\t%d\t%d\t%.1f%%\tat least %.1f%%\t%t\n", g.core, g.core+g.other, 100*coreShare, 100*minCoreShare, coreShare >= minCoreShare)
	w.Flush()
	return testShare <= maxTestShare && coreShare >= minCoreShare
}
